package lemondock.net.nio;

import static lemondock.net.testing.NetworkExtension.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import lemondock.net.ByteBudget;
import lemondock.net.Connection;
import lemondock.net.Network;
import lemondock.net.testing.IgnoringHandler;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** What a connection keeps in memory while it is idle, while it reads and after its close. */
@Timeout(30)
class ConnectionMemoryTest {
  private static final long CONNECT_TIMEOUT_MICROS = 5_000_000;
  private static final int REQUEST_BYTES = 200_000;
  private static final int READ_BUDGET_BYTES = 40_000;
  private static final int UPLOADS = 8;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  /**
   * Idle connections of a pool that kept the request which they wrote last took half of the heap in
   * a burst of long prompts.
   */
  @Test
  void idleConnectionDoesNotKeepWhatItHasWritten() throws Exception {
    CompletableFuture<Connection> opened = new CompletableFuture<>();
    try (ServerSocket listener = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      net.loop()
          .execute(
              () ->
                  net.network()
                      .connect(
                          (InetSocketAddress) listener.getLocalSocketAddress(),
                          CONNECT_TIMEOUT_MICROS,
                          new Recorder(opened, new CompletableFuture<>())));
      try (Socket peer = listener.accept()) {
        WeakReference<byte[]> written = write(opened.get(10, TimeUnit.SECONDS));
        assertEquals(REQUEST_BYTES, peer.getInputStream().readNBytes(REQUEST_BYTES).length);
        await(
            () -> {
              System.gc();
              return written.get() == null;
            });
      }
    }
  }

  private WeakReference<byte[]> write(Connection connection) {
    byte[] request = new byte[REQUEST_BYTES];
    net.onLoop(
        () -> {
          connection.write(ByteBuffer.wrap(request));
          connection.read();
          return true;
        });
    return new WeakReference<>(request);
  }

  /** A timer that is left to run out keeps the closed connection, its buffers and its owner. */
  @Test
  void closedConnectionLeavesNoTimer() throws Exception {
    CompletableFuture<Connection> opened = new CompletableFuture<>();
    CompletableFuture<Integer> timersAtClose = new CompletableFuture<>();
    Network.Listener port =
        net.network()
            .listen(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                1,
                () -> new Recorder(opened, timersAtClose));
    try (Socket peer = NetworkExtension.connect(port)) {
      Connection connection = opened.get(10, TimeUnit.SECONDS);
      net.onLoop(
          () -> {
            connection.close(); // lingers until the peer closes as well
            return true;
          });
      assertEquals(-1, peer.getInputStream().read());
    }
    assertEquals(0, timersAtClose.get(10, TimeUnit.SECONDS));
  }

  /** Uploads at the same time have large read buffers only as far as the budget allows. */
  @Test
  void readBuffersStayWithinTheirBudget() throws Exception {
    ByteBudget budget = new ByteBudget(READ_BUDGET_BYTES);
    AtomicLong mostReserved = new AtomicLong();
    try (AsyncNetwork network = new AsyncNetwork(net.loop(), 1, 1, budget)) {
      AtomicLong received = new AtomicLong();
      Network.Listener port =
          network.listen(
              new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
              UPLOADS,
              () ->
                  new Recorder(new CompletableFuture<>(), new CompletableFuture<>()) {
                    @Override
                    public void decode(ByteBuffer bytes, List<Object> events) {
                      mostReserved.accumulateAndGet(budget.reservedBytes(), Math::max);
                      received.addAndGet(bytes.remaining());
                    }

                    @Override
                    public boolean continueReading() {
                      return true;
                    }
                  });
      Socket[] peers = new Socket[UPLOADS];
      for (int i = 0; i < UPLOADS; i++) {
        peers[i] = NetworkExtension.connect(port);
      }
      byte[] upload = new byte[REQUEST_BYTES];
      for (Socket peer : peers) {
        peer.getOutputStream().write(upload);
      }
      await(() -> received.get() == (long) UPLOADS * REQUEST_BYTES);
      assertTrue(mostReserved.get() > 0, "no read buffer has grown");
      assertTrue(mostReserved.get() <= READ_BUDGET_BYTES, "reserved: " + mostReserved);
      for (Socket peer : peers) {
        peer.close();
      }
      await(() -> budget.reservedBytes() == 0);
    }
  }

  /** Reads what comes; reports the connection and the number of timers at its close. */
  private class Recorder extends IgnoringHandler {
    private final CompletableFuture<Connection> opened;
    private final CompletableFuture<Integer> timersAtClose;
    private Connection connection;

    Recorder(CompletableFuture<Connection> opened, CompletableFuture<Integer> timersAtClose) {
      this.opened = opened;
      this.timersAtClose = timersAtClose;
    }

    @Override
    public void connected(Connection newConnection) {
      connection = newConnection;
      opened.complete(newConnection);
      newConnection.read();
    }

    @Override
    public void received(List<Object> events) {
      connection.read();
    }

    @Override
    public void inputEnded() {
      connection.abort();
    }

    @Override
    public void closed(IOException cause) {
      timersAtClose.complete(net.loop().pendingTimers());
    }
  }
}
