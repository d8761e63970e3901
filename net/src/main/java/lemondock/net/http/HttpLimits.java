package lemondock.net.http;

/**
 * What a peer may send.
 *
 * @param line bytes of a request line, status line, header field or chunk line
 * @param headerBytes bytes of all header fields of a message
 * @param headers header fields of a message
 * @param body bytes of a message's content
 */
public record HttpLimits(
    int maxLineBytes, int maxHeaderBytes, int maxHeaderFields, long maxBodyBytes) {
  /** Limits for peers that are not known. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(8 * 1024, 32 * 1024, 100, 4 * 1024 * 1024);
}
