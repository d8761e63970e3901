package lemondock.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

/** Responses that an {@link HttpServer} sends by itself. Any thread. */
final class StandardResponses {
  static final String EXCESS_REQUEST_TEXT = "too many requests at once on a connection";

  static final String NO_MEMORY_TEXT = "no room for the request's content";

  private static final String PLAIN_TEXT = "text/plain; charset=utf-8";

  private static final ByteBuffer CONTINUE =
      ByteBuffer.wrap("HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.US_ASCII))
          .asReadOnlyBuffer();

  private static final ByteBuffer EXCESS_REQUEST =
      HttpEncoder.response(503, Headers.of("content-type", PLAIN_TEXT), line(EXCESS_REQUEST_TEXT))
          .asReadOnlyBuffer();

  /** Rejects a request because the requests in hand take all memory that they may take. */
  static final HttpRejection NO_MEMORY =
      new HttpRejection(1, PLAIN_TEXT, line(NO_MEMORY_TEXT), () -> {});

  private StandardResponses() {}

  /** The interim response to a client that waits before it sends its content. */
  static ByteBuffer proceed() {
    return CONTINUE.duplicate();
  }

  /** The response to a request that was read and discarded; the connection stays open. */
  static ByteBuffer excessRequest() {
    return EXCESS_REQUEST.duplicate();
  }

  /** An error response after which the connection is closed. */
  static ByteBuffer errorBeforeClose(int status, String text) {
    return HttpEncoder.response(
        status, Headers.of("content-type", PLAIN_TEXT, "connection", "close"), line(text));
  }

  private static byte[] line(String text) {
    return (text + "\n").getBytes(StandardCharsets.UTF_8);
  }
}
