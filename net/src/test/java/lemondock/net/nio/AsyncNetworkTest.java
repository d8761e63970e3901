package lemondock.net.nio;

import static lemondock.net.testing.NetworkExtension.await;
import static lemondock.net.testing.NetworkExtension.connect;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import lemondock.net.Connection;
import lemondock.net.DelayProbe;
import lemondock.net.Network;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.RegisterExtension;

/** The I/O threads of a network, over real sockets. */
class AsyncNetworkTest {
  private static final long CONNECT_TIMEOUT_MICROS = 5_000_000;
  private static final long THREAD_SHUTDOWN_MILLIS = 200;

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(2, 8);

  @Test
  void delayProbeReportsHowLongInputWaitsForItsThread() throws Exception {
    CompletableFuture<Void> releaseDecoder = new CompletableFuture<>();
    Network.Listener port =
        net.network()
            .listen(
                new InetSocketAddress("127.0.0.1", 0),
                100,
                () ->
                    new Echo() {
                      @Override
                      public void decode(ByteBuffer bytes, List<Object> events) {
                        releaseDecoder.join(); // blocks the I/O thread meanwhile
                        super.decode(bytes, events);
                      }
                    });
    List<DelayProbe> probes = net.network().delayProbes();
    assertEquals(2, probes.size());
    for (DelayProbe probe : probes) {
      assertTrue(measure(probe) < 5_000_000);
    }
    try (Socket socket = connect(port)) {
      socket.getOutputStream().write('x');
      // reported while the byte is still waiting
      await(() -> probes.stream().anyMatch(p -> pendingDelay(p) >= 50_000));
      releaseDecoder.complete(null);
      assertEquals('x', socket.getInputStream().read());
      await(() -> probes.stream().allMatch(p -> pendingDelay(p) == 0));
    }
  }

  /** Time that the probe's last byte has been waiting, in microseconds. */
  private long pendingDelay(DelayProbe probe) {
    return net.onLoop(() -> probe.measure(delay -> {}));
  }

  private long measure(DelayProbe probe) throws Exception {
    CompletableFuture<Long> delay = new CompletableFuture<>();
    net.loop().execute(() -> probe.measure(delay::complete));
    return delay.get(10, TimeUnit.SECONDS);
  }

  @Test
  void decoderErrorBreaksOnlyItsOwnConnection() throws Exception {
    Network.Listener port =
        net.network().listen(new InetSocketAddress("127.0.0.1", 0), 100, () -> new Echo());
    List<Socket> sockets = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      sockets.add(connect(port));
    }
    for (int i = 0; i < 20; i += 2) {
      sockets.get(i).getOutputStream().write('!');
      assertEquals(
          -1,
          sockets.get(i).getInputStream().read(),
          "the connection whose decoder failed is closed");
      assertTrue(net.failures().poll(10, TimeUnit.SECONDS).contains("simulated stack overflow"));
    }
    for (int i = 1; i < 20; i += 2) {
      sockets.get(i).getOutputStream().write('x');
      assertEquals('x', sockets.get(i).getInputStream().read());
      sockets.get(i).close();
    }
  }

  /**
   * A network is closed while its loop still runs: the reads and writes of that turn are started
   * only after the shutdown.
   */
  @Test
  void readsAndWritesAfterNetworkCloseEndTheConnection() throws Exception {
    CompletableFuture<Connection> opened = new CompletableFuture<>();
    CompletableFuture<IOException> end = new CompletableFuture<>();
    try (ServerSocket peerServer = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        AsyncNetwork closing = new AsyncNetwork(net.loop(), 1, 1)) {
      net.loop()
          .execute(
              () ->
                  closing.connect(
                      (InetSocketAddress) peerServer.getLocalSocketAddress(),
                      CONNECT_TIMEOUT_MICROS,
                      new Echo() {
                        @Override
                        public void connected(Connection newConnection) {
                          opened.complete(newConnection);
                        }

                        @Override
                        public void closed(IOException cause) {
                          end.complete(cause);
                        }
                      }));
      Connection connection = opened.get(10, TimeUnit.SECONDS);
      net.executeOnLoopThread(
          () -> {
            connection.read();
            connection.write(ByteBuffer.wrap(new byte[] {'x'}));
            close(closing);
          });
      assertNotNull(end.get(10, TimeUnit.SECONDS));
    }
    assertEquals(List.of(), List.copyOf(net.failures()));
  }

  /** Closes a network and waits until its threads have ended. */
  private static void close(AsyncNetwork network) {
    try {
      network.close();
      Thread.sleep(THREAD_SHUTDOWN_MILLIS);
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Echoes the first byte of each batch; its decoder throws an error on an exclamation mark. */
  private static class Echo implements Connection.Handler {
    private Connection connection;

    @Override
    public void connected(Connection newConnection) {
      connection = newConnection;
      newConnection.read();
    }

    @Override
    public void decode(ByteBuffer bytes, List<Object> events) {
      byte first = bytes.get();
      if (first == '!') {
        throw new StackOverflowError("simulated stack overflow");
      }
      events.add(first);
    }

    @Override
    public void received(List<Object> events) {
      connection.write(ByteBuffer.wrap(new byte[] {(byte) events.get(0)}));
      connection.read();
    }

    @Override
    public void inputEnded() {}

    @Override
    public void writeQueueDrained() {}

    @Override
    public void closed(IOException cause) {}
  }
}
