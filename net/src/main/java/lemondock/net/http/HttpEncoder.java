package lemondock.net.http;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import lemondock.net.OutBuffer;

/** Writes HTTP/1.1 messages as bytes; no I/O. */
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

  /** A whole response; adds the content-length. */
  public static ByteBuffer response(int status, Headers headers, byte[] body) {
    Headers all = copy(headers).add("content-length", Integer.toString(body.length));
    return join(head(statusLine(status), all), body);
  }

  /** The head of a response whose content follows in chunks; adds the transfer-encoding. */
  public static ByteBuffer chunkedHead(int status, Headers headers) {
    Headers all = copy(headers).add("transfer-encoding", "chunked");
    return ByteBuffer.wrap(head(statusLine(status), all));
  }

  /** The head of a response whose content lasts until the connection is closed. */
  public static ByteBuffer headUntilClose(int status, Headers headers) {
    return ByteBuffer.wrap(head(statusLine(status), headers));
  }

  /** A whole request; adds the content-length if there is content or the method is POST. */
  public static ByteBuffer request(String method, String target, Headers headers, byte[] body) {
    Headers all = copy(headers);
    if (body.length > 0 || method.equals("POST")) {
      all.add("content-length", Integer.toString(body.length));
    }
    return join(head(method + " " + target + " HTTP/1.1", all), body);
  }

  /** One chunk of content that is not empty. */
  public static ByteBuffer chunk(byte[] bytes) {
    OutBuffer framed = new OutBuffer(bytes.length + LINE_END_BYTES).add(bytes).frameAsChunk();
    return ByteBuffer.wrap(framed.array(), framed.offset(), framed.length());
  }

  /** The end of content in chunks. */
  public static ByteBuffer lastChunk() {
    return ByteBuffer.wrap(LAST_CHUNK);
  }

  private static String statusLine(int status) {
    return "HTTP/1.1 " + status + " " + REASONS.getOrDefault(status, "Status");
  }

  private static Headers copy(Headers headers) {
    Headers all = new Headers();
    for (int i = 0; i < headers.size(); i++) {
      all.add(headers.name(i), headers.value(i));
    }
    return all;
  }

  private static byte[] head(String startLine, Headers headers) {
    return (startLine + "\r\n" + headers + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
  }

  private static ByteBuffer join(byte[] head, byte[] body) {
    return ByteBuffer.allocate(head.length + body.length).put(head).put(body).flip();
  }
}
