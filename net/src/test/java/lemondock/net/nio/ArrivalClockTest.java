package lemondock.net.nio;

import static lemondock.net.testing.NetworkExtension.await;
import static lemondock.net.testing.NetworkExtension.connect;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Network;
import lemondock.net.testing.IgnoringHandler;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Arrival times of bytes that an I/O thread reads late. */
@Timeout(20)
class ArrivalClockTest {
  private static final int WAITING_CONNECTIONS = 8;
  private static final long DELAY_MILLIS = 300;

  /** Longer than the interval between two markers of the clock. */
  private static final long BLOCKED_MILLIS = 150;

  private static final long TOLERANCE_MICROS = 80_000;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  private final List<Connection> connections = new CopyOnWriteArrayList<>();
  private final List<Long> arrivals = new CopyOnWriteArrayList<>();
  private final CountDownLatch blocked = new CountDownLatch(1);
  private final CompletableFuture<Void> release = new CompletableFuture<>();

  /**
   * The JDK handles the sockets that the kernel reports together in another order, so a marker that
   * was posted after a read had been started may be run before the read completes.
   */
  @Test
  void inputOlderThanItsReadIsNotDatedByTheStartOfTheRead() throws Exception {
    Network.Listener port = listen(Waiting::new);
    Network.Listener blockingPort = listen(Blocking::new);
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < WAITING_CONNECTIONS; i++) {
      sockets.add(connect(port));
      sockets.get(i).getOutputStream().write('x');
    }
    final long writtenMicros = net.loop().now();
    await(() -> connections.size() == WAITING_CONNECTIONS);
    Thread.sleep(DELAY_MILLIS);
    try (Socket blocking = connect(blockingPort)) {
      blocking.getOutputStream().write('x');
      blocked.await();
      net.executeOnLoopThread(() -> connections.forEach(Connection::read));
      Thread.sleep(BLOCKED_MILLIS);
      release.complete(null);
      await(() -> arrivals.size() == WAITING_CONNECTIONS);
    }
    for (long arrivedMicros : arrivals) {
      assertTrue(
          arrivedMicros <= writtenMicros + TOLERANCE_MICROS,
          () -> "dated " + (arrivedMicros - writtenMicros) + " us after it was sent");
    }
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  private Network.Listener listen(Supplier<Connection.Handler> handlers) throws IOException {
    return net.network().listen(new InetSocketAddress("127.0.0.1", 0), 100, handlers);
  }

  /** Reads nothing by itself. */
  private final class Waiting extends IgnoringHandler {
    @Override
    public void connected(Connection connection) {
      connections.add(connection);
    }

    @Override
    public boolean wantsArrivalTimes() {
      return true;
    }

    @Override
    public void batchArrived(long arrivedMicros) {
      arrivals.add(arrivedMicros);
    }
  }

  /** Blocks the I/O thread until it is released. */
  private final class Blocking extends IgnoringHandler {
    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      blocked.countDown();
      release.join();
    }
  }
}
