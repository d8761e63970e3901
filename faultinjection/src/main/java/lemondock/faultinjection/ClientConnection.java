package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A client's connection to a gateway, used for one request after another by one thread. */
final class ClientConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Socket socket;
  private final InputStream in;

  private ClientConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  /** Connects to a port of loopback. */
  static ClientConnection open(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
    return new ClientConnection(socket);
  }

  /** Writes a request. */
  void write(String request) throws IOException {
    HttpMessageWriter.write(socket, request);
  }

  /**
   * Reads the head of the answer, and its body unless that is chunked.
   *
   * @return the answer; empty if the gateway has closed the connection instead
   * @throws java.net.SocketTimeoutException if nothing comes for that long
   */
  Optional<HttpMessageReader.Message> readAnswer(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return HttpMessageReader.read(in);
  }

  /**
   * Reads a chunked body to its end.
   *
   * @throws java.net.SocketTimeoutException if nothing comes for that long
   */
  String readChunks(int timeoutMillis) throws IOException {
    StringBuilder text = new StringBuilder();
    socket.setSoTimeout(timeoutMillis);
    byte[] chunk = HttpMessageReader.readChunk(in);
    while (chunk.length > 0) {
      text.append(new String(chunk, StandardCharsets.ISO_8859_1));
      chunk = HttpMessageReader.readChunk(in);
    }
    return text.toString();
  }

  /** Closes the connection. */
  void close() {
    FaultProxy.closeQuietly(socket);
  }

  /** Resets the connection. */
  void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // closed in any case
    }
    close();
  }
}
