package lemondock.net.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import lemondock.net.Connection;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;
import org.junit.jupiter.api.io.TempDir;

/** Tests the close of a connection over a Unix domain socket. */
@Timeout(20)
class PolledConnectionTest {
  private static final long PEER_DELAY_MILLIS = 150;
  private static final String LINE = "PUTVAL a/b/c interval=10 1:2\n";
  private static final int LINE_COUNT = 20;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  @TempDir Path folder;

  /** The peer responds to each line, and starts to read only after the close. */
  @Test
  void slowPeerCanAnswerEveryLineSentBeforeClose() throws Exception {
    try (ServerSocketChannel server = listen()) {
      CompletableFuture<IOException> closed = writeAndClose();
      try (SocketChannel peer = server.accept();
          BufferedReader lines =
              new BufferedReader(Channels.newReader(peer, StandardCharsets.US_ASCII))) {
        Thread.sleep(PEER_DELAY_MILLIS);
        List<String> received = new ArrayList<>();
        for (String line = lines.readLine(); line != null; line = lines.readLine()) {
          received.add(line);
          peer.write(ByteBuffer.wrap(new byte[] {'0', '\n'}));
        }
        assertEquals(LINE_COUNT, received.size());
        assertFalse(closed.isDone(), "the connection waits until the peer closes");
      }
      assertEquals(null, closed.get(10, TimeUnit.SECONDS));
    }
  }

  @Test
  void closeEndsWhenPeerNeverCloses() throws Exception {
    try (ServerSocketChannel server = listen()) {
      CompletableFuture<IOException> closed = writeAndClose();
      try (SocketChannel peer = server.accept()) {
        assertEquals(null, closed.get(10, TimeUnit.SECONDS));
        assertTrue(peer.isOpen());
      }
    }
  }

  private ServerSocketChannel listen() throws IOException {
    ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
    server.bind(UnixDomainSocketAddress.of(folder.resolve("socket")));
    return server;
  }

  /** Connects, writes the lines and closes; completes with the cause reported by the close. */
  private CompletableFuture<IOException> writeAndClose() {
    CompletableFuture<IOException> closed = new CompletableFuture<>();
    UnixDomainConnector connector = new UnixDomainConnector(net.loop());
    net.loop()
        .execute(
            () ->
                connector.connect(
                    folder.resolve("socket"),
                    new Connection.Handler() {
                      @Override
                      public void connected(Connection connection) {
                        connection.write(
                            ByteBuffer.wrap(
                                LINE.repeat(LINE_COUNT).getBytes(StandardCharsets.US_ASCII)));
                        connection.close();
                      }

                      @Override
                      public void decode(ByteBuffer bytes, List<Object> events) {}

                      @Override
                      public void received(List<Object> events) {}

                      @Override
                      public void inputEnded() {}

                      @Override
                      public void writeQueueDrained() {}

                      @Override
                      public void closed(IOException cause) {
                        closed.complete(cause);
                      }
                    }));
    return closed;
  }
}
