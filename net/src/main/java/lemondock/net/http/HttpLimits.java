package lemondock.net.http;

/**
 * Sizes of the messages that are accepted from a peer.
 *
 * @param maxLineBytes bytes of a request line, status line, header field or chunk line
 * @param maxHeaderBytes bytes of all header fields of a message
 * @param maxHeaderFields header fields of a message
 * @param maxBodyBytes bytes of a message's content
 */
public record HttpLimits(
    int maxLineBytes, int maxHeaderBytes, int maxHeaderFields, long maxBodyBytes) {
  /** Limits for unknown peers. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(8 * 1024, 32 * 1024, 100, 4 * 1024 * 1024);
}
