package lemondock.net.http;

/** What an {@link HttpDecoder} finds in a byte stream, in this order for each message: head, data, end. */
public sealed interface HttpEvent {
    /** The first byte of a request or response has come. */
    record Began() implements HttpEvent { }

    /** Request line and header fields; {@code minor} is the minor version of HTTP/1. */
    record RequestHead(String method, String target, int minor, Headers headers, boolean keepAlive)
            implements HttpEvent { }

    /** Status line and header fields of a final response. */
    record ResponseHead(int status, Headers headers, boolean keepAlive) implements HttpEvent { }

    /** A piece of the content, framing taken off. */
    record Data(byte[] bytes) implements HttpEvent { }

    /** The message is complete. */
    record End() implements HttpEvent { }

    /**
     * The stream does not follow the protocol or exceeds a limit; nothing after it can be understood.
     *
     * @param status what a server should answer
     */
    record Malformed(int status, String what) implements HttpEvent { }
}
