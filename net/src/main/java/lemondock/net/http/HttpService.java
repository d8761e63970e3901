package lemondock.net.http;

import java.util.Optional;

/** Serves the requests of an {@link HttpServer}. */
public interface HttpService {
  /**
   * Whether {@link #serve} reads the body of a request; if not, the body is released before {@code
   * serve} is called.
   */
  default boolean needsBodyToServe() {
    return true;
  }

  /**
   * Decides from the beginning of a heavy request whether to reject it, before any work on it is
   * done. Runs on an I/O thread and like {@link #prepare} must not touch the state of the loop. The
   * body may be incomplete, but has at least {@link #earlyRejectionBytes} bytes unless the whole
   * body is shorter. If the request is rejected, the rest of the body is read and discarded.
   *
   * @return the response that is sent instead of serving the request; empty to prepare it
   */
  default Optional<HttpRejection> rejectEarly(HttpRequest request) {
    return Optional.empty();
  }

  /**
   * Rejects a request because there is no memory for it; the rest of its body is read and
   * discarded. Runs on an I/O thread and like {@link #prepare} must not touch the state of the
   * loop.
   *
   * @param request the request without its body
   */
  default HttpRejection rejectForLackOfMemory(HttpRequest request) {
    return StandardResponses.NO_MEMORY;
  }

  /**
   * Number of bytes at the start of a body from which {@link #rejectEarly} decides the same as from
   * the whole body.
   */
  default int earlyRejectionBytes() {
    return Integer.MAX_VALUE;
  }

  /**
   * Does work that depends on the request alone, on an I/O thread or a worker to relieve the loop.
   * It must not touch the state of the loop. An exception is a defect and aborts the connection.
   *
   * @return the result, available as {@link HttpExchange#prepared}; may be null
   */
  default Object prepare(HttpRequest request) {
    return null;
  }

  /** Serves a request; called on the loop. The response may be sent later. */
  void serve(HttpExchange exchange);
}
