package lemondock.net.http;

import java.util.Optional;

/** Serves the requests of an {@link HttpServer}. */
public interface HttpService {
  /**
   * Whether {@link #serve} reads the body of a request; otherwise the body is released once the
   * request is prepared.
   */
  default boolean needsBodyToServe() {
    return true;
  }

  /**
   * Looks at the beginning of a heavy request on an I/O thread, before any work on it is done. Like
   * {@link #prepare} it must not touch the loop's state. The request has {@link
   * #earlyRejectionBytes} bytes of its body or more, but not all that is to come; once it is
   * rejected the rest is read and discarded.
   *
   * @return the response that it gets instead of being served; empty to have it prepared
   */
  default Optional<HttpRejection> rejectEarly(HttpRequest request) {
    return Optional.empty();
  }

  /** Bytes of body that {@link #rejectEarly} needs to decide as it would with all of them. */
  default int earlyRejectionBytes() {
    return Integer.MAX_VALUE;
  }

  /**
   * Work that depends on the request alone, done on an I/O thread or a worker to spare the loop. It
   * must not touch the loop's state; what it throws is a defect and breaks the connection.
   */
  default Object prepare(HttpRequest request) {
    return null;
  }

  /** Responds on the loop, now or later. */
  void serve(HttpExchange exchange);
}
