package lemondock.faultinjection;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Writes HTTP/1.1 messages that are given as text. */
final class HttpMessageWriter {
  private static final String LAST_CHUNK = "0\r\n\r\n";

  private HttpMessageWriter() {}

  /** Writes a message, or part of one, encoded as ISO 8859-1. */
  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Writes one chunk of a chunked body; {@code data} has ISO 8859-1 characters only. */
  static void writeChunk(Socket socket, String data) throws IOException {
    write(socket, Integer.toHexString(data.length()) + "\r\n" + data + "\r\n");
  }

  /** Ends a chunked body. */
  static void writeLastChunk(Socket socket) throws IOException {
    write(socket, LAST_CHUNK);
  }
}
