package lemondock.net.http;

/**
 * A 503 response that is given instead of serving a request.
 *
 * @param retryAfterSeconds value of the {@code retry-after} header field, seconds
 * @param contentType type of the body
 * @param body the response's content
 * @param onSent run on the loop when the response is given
 */
public record HttpRejection(
    long retryAfterSeconds, String contentType, byte[] body, Runnable onSent) {}
