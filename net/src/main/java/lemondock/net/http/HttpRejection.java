package lemondock.net.http;

/**
 * A 503 response that is sent instead of serving a request.
 *
 * @param retryAfterSeconds value of the {@code retry-after} header field, seconds
 * @param contentType media type of the body
 * @param body content of the response
 * @param onSent task that runs on the loop just before the response is sent
 */
public record HttpRejection(
    long retryAfterSeconds, String contentType, byte[] body, Runnable onSent) {}
