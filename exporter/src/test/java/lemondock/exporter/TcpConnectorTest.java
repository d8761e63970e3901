package lemondock.exporter;

import static lemondock.exporter.ExporterFixture.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondock.net.Connection;
import lemondock.net.time.ManualLoop;
import org.junit.jupiter.api.Test;

/** Resolution of the host before a connection attempt. */
class TcpConnectorTest {
  private final ManualLoop loop = new ManualLoop(1_000_000_000L);
  private final List<Consumer<InetSocketAddress>> resolutions = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();

  /** Fails for the host "none"; for others, keeps the callback for the test to call. */
  private void resolve(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed) {
    if (host.equals("none")) {
      onFailed.accept(new IOException("host none could not be resolved"));
    } else {
      resolutions.add(onResolved);
    }
  }

  private void connectTo(String host) {
    InetSocketAddress address = InetSocketAddress.createUnresolved(host, 1);
    new TcpConnector(loop, null, this::resolve, address, SECOND).connect(new FailureRecorder());
  }

  @Test
  void ignoresResolutionAfterTimeout() {
    connectTo("slow");
    loop.advance(2 * SECOND);
    resolutions.get(0).accept(new InetSocketAddress("127.0.0.1", 1));
    loop.runTasks();
    assertEquals(List.of("host slow was not resolved within 1000000 us"), failures);
  }

  @Test
  void reportsFailedResolutionOnce() {
    connectTo("none");
    loop.advance(2 * SECOND);
    assertEquals(List.of("host none could not be resolved"), failures);
  }

  /** Records the message with which the connection attempt failed. */
  private final class FailureRecorder implements Connection.Handler {
    @Override
    public void connected(Connection connection) {}

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
      failures.add(cause.getMessage());
    }
  }
}
