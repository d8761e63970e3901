package lemondock.net.http;

import java.util.Optional;

/**
 * A 503 response that is sent instead of serving a request.
 *
 * @param retryAfter value of the {@code retry-after} header field; empty to send none
 * @param contentType media type of the body
 * @param body content of the response
 * @param onSent task that runs on the loop just before the response is sent
 */
public record HttpRejection(
    Optional<String> retryAfter, String contentType, byte[] body, Runnable onSent) {

  /** Creates a rejection that invites the client to retry after a number of seconds. */
  public HttpRejection(long retryAfterSeconds, String contentType, byte[] body, Runnable onSent) {
    this(Optional.of(Long.toString(retryAfterSeconds)), contentType, body, onSent);
  }
}
