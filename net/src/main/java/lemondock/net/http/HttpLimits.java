package lemondock.net.http;

/**
 * Size limits of the messages that are accepted from a peer.
 *
 * @param maxLineBytes maximum bytes of a request line, status line, header field or chunk line
 * @param maxHeaderBytes maximum bytes of all header and trailer fields of a message together
 * @param maxHeaderFields maximum number of header fields of a message
 * @param maxBodyBytes maximum bytes of the content of a message; of an event stream, which is never
 *     held as a whole, maximum bytes of a chunk
 */
public record HttpLimits(
    int maxLineBytes, int maxHeaderBytes, int maxHeaderFields, long maxBodyBytes) {
  /** Default limits, for untrusted peers. */
  public static final HttpLimits DEFAULT =
      new HttpLimits(8 * 1024, 32 * 1024, 100, 4 * 1024 * 1024);
}
