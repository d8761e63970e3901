package lemondock.faultinjection;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/** A client's connection to a gateway. One thread uses it, for one request at a time. */
final class ClientConnection {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final Socket socket;
  private final InputStream in;

  private ClientConnection(Socket socket) throws IOException {
    this.socket = socket;
    this.in = new BufferedInputStream(socket.getInputStream());
  }

  /** Connects to a port on loopback. */
  static ClientConnection open(int port) throws IOException {
    Socket socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), CONNECT_TIMEOUT_MILLIS);
    return new ClientConnection(socket);
  }

  /** Writes a complete request. */
  void write(String request) throws IOException {
    HttpMessageWriter.write(socket, request);
  }

  /** Waits for that long; returns false as soon as the gateway closes the connection. */
  boolean staysOpenFor(int millis) {
    try {
      socket.setSoTimeout(millis);
      in.mark(1);
      int next = in.read();
      in.reset();
      return next >= 0;
    } catch (SocketTimeoutException e) {
      return true;
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Reads the head of the answer, and also its body unless the body is chunked.
   *
   * @return the answer; empty if the gateway closed the connection without sending one
   * @throws SocketTimeoutException if no byte arrives for that long
   */
  Optional<HttpMessageReader.Message> readAnswer(int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    return HttpMessageReader.read(in);
  }

  /**
   * Reads a chunked body to its end.
   *
   * @throws SocketTimeoutException if no byte arrives for that long
   */
  String readChunkedBody(int timeoutMillis) throws IOException {
    StringBuilder body = new StringBuilder();
    socket.setSoTimeout(timeoutMillis);
    byte[] chunk = HttpMessageReader.readChunk(in);
    while (chunk.length > 0) {
      body.append(new String(chunk, StandardCharsets.ISO_8859_1));
      chunk = HttpMessageReader.readChunk(in);
    }
    return body.toString();
  }

  /** Closes the connection. */
  void close() {
    FaultProxy.closeQuietly(socket);
  }

  /** Closes the connection with a RST. */
  void reset() {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException e) {
      // the socket is closed below in any case
    }
    close();
  }
}
