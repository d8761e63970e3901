package lemondock.net.http;

/**
 * What an {@link HttpDecoder} finds in a byte stream, in this order for each message: head, end;
 * the content goes elsewhere between them ({@link HttpDecoder#withContentSink}). {@link Began}
 * comes between them where bytes end within a message.
 */
public sealed interface HttpEvent {
  /** A message has begun and is not complete; once a message, so that its time can be limited. */
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
   * The stream does not follow the protocol or exceeds a limit; nothing after it can be understood.
   *
   * @param status the status that a server should respond with
   * @param reason what is wrong, as sent to the client
   */
  record Malformed(int status, String reason) implements HttpEvent {}
}
