package lemondock.faultinjection;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * A small reader of HTTP/1.1 messages for stand-ins and clients, which speak only as their own
 * peers do.
 */
final class HttpMessageReader {
  private static final int MOST_LINE = 16 * 1024;

  private HttpMessageReader() {}

  /**
   * A message.
   *
   * @param first the request line or status line
   * @param headers by name in lower case
   * @param firstByteAt when its first byte was read
   */
  record Message(String first, Map<String, String> headers, byte[] body, long firstByteAt) {
    String header(String name) {
      return headers.get(name);
    }

    /** The status of a response. */
    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  /** Reads a head, and a body of the length that it tells; null at an end before the first byte. */
  static Message read(InputStream in) throws IOException {
    int begin = in.read();
    if (begin < 0) {
      return null;
    }
    long firstByteAt = MonotonicClock.now();
    String first = (char) begin + line(in);
    Map<String, String> headers = new HashMap<>();
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT),
          line.substring(colon + 1).strip());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the connection ended within a body");
    }
    return new Message(first, headers, body, firstByteAt);
  }

  /** A line without its end. */
  static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0 || line.size() > MOST_LINE) {
        throw new EOFException("the connection ended within a line");
      }
      if (b != '\r') {
        line.write(b);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** The next chunk of a body in chunks; empty at its end. */
  static byte[] chunk(InputStream in) throws IOException {
    int size = Integer.parseInt(line(in).strip(), 16);
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("the connection ended within a chunk");
    }
    line(in);
    return bytes;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
