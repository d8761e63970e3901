package lemondock.net.http;

/**
 * Event that an {@link HttpDecoder} finds in a byte stream: for each message its head, then its
 * end. The content between them goes to a separate sink ({@link HttpDecoder#withContentSink}).
 * {@link Began} is added when the bytes passed to one call of {@link HttpDecoder#decode} end within
 * a message.
 */
public sealed interface HttpEvent {
  /**
   * A message has begun and is not complete; reported at most once per message, so that the
   * receiver can limit the time until its end.
   */
  record Began() implements HttpEvent {}

  /** Request line and header fields; {@code minorVersion} is the minor version of HTTP/1. */
  record RequestHead(
      String method, String target, int minorVersion, Headers headers, boolean keepAlive)
      implements HttpEvent {}

  /** Status line and header fields of a final response. */
  record ResponseHead(int status, Headers headers, boolean keepAlive) implements HttpEvent {}

  /** The message is complete. */
  record End() implements HttpEvent {}

  /**
   * The stream violates the protocol or exceeds a limit; nothing after this point can be decoded.
   *
   * @param status the status that a server should respond with
   * @param reason the violation, as sent to the client
   */
  record Malformed(int status, String reason) implements HttpEvent {}
}
