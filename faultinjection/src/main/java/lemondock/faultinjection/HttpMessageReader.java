package lemondock.faultinjection;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/**
 * Reads HTTP/1.1 messages in the forms that the gateway and this package's servers and clients use.
 * A malformed message throws an {@link IOException} or a {@link RuntimeException}; callers treat
 * both as a broken connection.
 */
final class HttpMessageReader {
  private static final int MAX_LINE_BYTES = 16 * 1024;
  private static final int HEXADECIMAL = 16;

  private HttpMessageReader() {}

  /**
   * A message with its body.
   *
   * @param startLine the request line or status line
   * @param headers by name in lower case
   * @param firstByteMicros when its first byte was read
   */
  record Message(String startLine, Map<String, String> headers, byte[] body, long firstByteMicros) {
    /** A header by its name in lower case. */
    Optional<String> header(String name) {
      return Optional.ofNullable(headers.get(name));
    }

    /** The path and query of a request. */
    String target() {
      return startLine.split(" ")[1];
    }

    /** The status of a response. */
    int status() {
      return Integer.parseInt(startLine.split(" ")[1]);
    }

    private int contentLength() {
      return Integer.parseInt(headers.getOrDefault("content-length", "0"));
    }
  }

  /**
   * Reads a head, and a body of the length that its content-length header states. A chunked body is
   * left to {@link #readChunk}. Empty if the connection ends before the first byte.
   *
   * @throws EOFException if the connection ends within the message
   */
  static Optional<Message> read(InputStream in) throws IOException {
    int firstByte = in.read();
    if (firstByte < 0) {
      return Optional.empty();
    }
    long firstByteMicros = MonotonicClock.nowMicros();
    String startLine = (char) firstByte + readLine(in);
    Message head = new Message(startLine, readHeaders(in), new byte[0], firstByteMicros);
    byte[] body = readBytes(in, head.contentLength(), "a body");
    return Optional.of(new Message(startLine, head.headers(), body, firstByteMicros));
  }

  private static Map<String, String> readHeaders(InputStream in) throws IOException {
    Map<String, String> headers = new HashMap<>();
    for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      String name = line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
      headers.put(name, line.substring(colon + 1).strip());
    }
    return headers;
  }

  /** Reads the next chunk of a chunked body; empty at its end. */
  static byte[] readChunk(InputStream in) throws IOException {
    int length = Integer.parseInt(readLine(in).strip(), HEXADECIMAL);
    byte[] chunk = readBytes(in, length, "a chunk");
    readLine(in);
    return chunk;
  }

  private static byte[] readBytes(InputStream in, int length, String part) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException(
          "the connection ended within "
              + part
              + " of "
              + length
              + " bytes, after "
              + bytes.length);
    }
    return bytes;
  }

  /** Reads a line and returns it without its line break. */
  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0 || line.size() > MAX_LINE_BYTES) {
        throw new EOFException(
            "the connection ended within a line, or the line exceeds " + MAX_LINE_BYTES + " bytes");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
