import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Head of an HTTP/1.1 message, and readers of its parts. Only what the stand-ins need. */
final class Message {
  final String startLine;
  final Map<String, String> headers = new TreeMap<>();
  byte[] body = new byte[0];

  private Message(String startLine) {
    this.startLine = startLine;
  }

  /** Reads a head; null if the connection ended before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Message message = new Message(line);
    for (line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
    }
    if (line == null) {
      throw new EOFException("the head is cut off");
    }
    return message;
  }

  /** Reads a head and the content that its Content-Length states. */
  static Message readRequest(InputStream in) throws IOException {
    Message message = readHead(in);
    if (message != null) {
      int length = Integer.parseInt(message.headers.getOrDefault("content-length", "0"));
      message.body = in.readNBytes(length);
      if (message.body.length < length) {
        throw new EOFException("the content is cut off");
      }
    }
    return message;
  }

  /** Reads a line without its line end; null at the end of the input. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("a line is cut off");
      }
      if (next != '\r') {
        line.write(next);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }

  /** Reads one chunk; null for the last one. */
  static byte[] readChunk(InputStream in) throws IOException {
    String size = readLine(in);
    if (size == null) {
      throw new EOFException("the answer ended without its last chunk");
    }
    byte[] chunk = in.readNBytes(Integer.parseInt(size.strip(), 16));
    readLine(in);
    return chunk.length == 0 ? null : chunk;
  }
}
