package lemondock.benchmark;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Connections to a gateway, idle or with a call each, from which the client never reads. */
final class UnreadCalls implements AutoCloseable {
  private static final int RECEIVE_BUFFER_BYTES = 4_096;

  private final List<Socket> sockets = new ArrayList<>();

  int size() {
    return sockets.size();
  }

  /** Opens an idle connection. */
  void connect(int port) throws IOException {
    sockets.add(new Socket("127.0.0.1", port));
  }

  /** Posts a call on a new connection with a small receive buffer; its answer stays unread. */
  void post(int port, String session, byte[] body) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
    socket.connect(new InetSocketAddress("127.0.0.1", port));
    String head =
        "POST /mcp HTTP/1.1\r\n"
            + "host: localhost\r\n"
            + "content-type: application/json\r\n"
            + "accept: text/event-stream\r\n"
            + "mcp-session-id: "
            + session
            + "\r\ncontent-length: "
            + body.length
            + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().write(body);
    sockets.add(socket);
  }

  /** Closes all connections. */
  @Override
  public void close() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
  }
}
