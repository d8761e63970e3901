package lemondock.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import lemondock.net.OutBuffer;

/** Encodes HTTP/1.1 messages as bytes; no I/O. */
public final class HttpEncoder {
  private static final int LINE_END_BYTES = 2;
  private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
  private static final Map<Integer, String> REASONS =
      Map.ofEntries(
          Map.entry(200, "OK"),
          Map.entry(202, "Accepted"),
          Map.entry(204, "No Content"),
          Map.entry(400, "Bad Request"),
          Map.entry(403, "Forbidden"),
          Map.entry(404, "Not Found"),
          Map.entry(405, "Method Not Allowed"),
          Map.entry(406, "Not Acceptable"),
          Map.entry(408, "Request Timeout"),
          Map.entry(409, "Conflict"),
          Map.entry(413, "Content Too Large"),
          Map.entry(414, "URI Too Long"),
          Map.entry(415, "Unsupported Media Type"),
          Map.entry(429, "Too Many Requests"),
          Map.entry(431, "Request Header Fields Too Large"),
          Map.entry(500, "Internal Server Error"),
          Map.entry(501, "Not Implemented"),
          Map.entry(503, "Service Unavailable"),
          Map.entry(505, "HTTP Version Not Supported"));

  private HttpEncoder() {}

  /** A complete response; adds the content-length field. */
  public static ByteBuffer response(int status, Headers headers, byte[] body) {
    Headers allHeaders = copy(headers).add("content-length", Integer.toString(body.length));
    return join(head(statusLine(status), allHeaders), body);
  }

  /** The head of a response with chunked content; adds the transfer-encoding field. */
  public static ByteBuffer chunkedHead(int status, Headers headers) {
    Headers allHeaders = copy(headers).add("transfer-encoding", "chunked");
    return ByteBuffer.wrap(head(statusLine(status), allHeaders));
  }

  /** The head of a response whose content is delimited by the close of the connection. */
  public static ByteBuffer headUntilClose(int status, Headers headers) {
    return ByteBuffer.wrap(head(statusLine(status), headers));
  }

  /**
   * A complete request; adds the content-length field if there is content or the method is POST.
   */
  public static ByteBuffer request(String method, String target, Headers headers, byte[] body) {
    return join(requestHead(method, target, headers, body.length), body);
  }

  /**
   * The head of a request whose body is written behind it; adds the content-length field as {@link
   * #request} does.
   */
  public static byte[] requestHead(String method, String target, Headers headers, int bodyBytes) {
    Headers allHeaders = copy(headers);
    if (bodyBytes > 0 || method.equals("POST")) {
      allHeaders.add("content-length", Integer.toString(bodyBytes));
    }
    return head(method + " " + target + " HTTP/1.1", allHeaders);
  }

  /** One chunk with the given content, which must not be empty. */
  public static ByteBuffer chunk(byte[] bytes) {
    OutBuffer framed = new OutBuffer(bytes.length + LINE_END_BYTES).add(bytes).frameAsChunk();
    return ByteBuffer.wrap(framed.array(), framed.offset(), framed.length());
  }

  /** The last chunk, which ends chunked content. */
  public static ByteBuffer lastChunk() {
    return ByteBuffer.wrap(LAST_CHUNK);
  }

  private static String statusLine(int status) {
    return "HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Status");
  }

  private static Headers copy(Headers headers) {
    Headers copy = new Headers();
    for (int i = 0; i < headers.size(); i++) {
      copy.add(headers.name(i), headers.value(i));
    }
    return copy;
  }

  private static byte[] head(String startLine, Headers headers) {
    return (startLine + "\r\n" + headers + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  private static ByteBuffer join(byte[] head, byte[] body) {
    return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
  }
}
