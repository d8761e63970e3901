package lemondock.net.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.net.testing.ScriptedConnection;
import lemondock.net.testing.ScriptedNetwork;
import lemondock.net.time.ManualLoop;
import org.junit.jupiter.api.Test;

/** Tests the limits of the connection pool on a manual clock and a scripted network. */
class HttpClientTest {
  private static final InetSocketAddress ADDRESS_A = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress ADDRESS_B = new InetSocketAddress("127.0.0.1", 2);

  private final ManualLoop loop = new ManualLoop(0);
  private final List<String> notifications = new ArrayList<>();
  private final ScriptedNetwork<FakeConnection> network =
      new ScriptedNetwork<>(loop, FakeConnection::new);
  private final List<FakeConnection> connections = network.connections();
  private final HttpClient client =
      new HttpClient(
          loop,
          network,
          new HttpClientOptions(HttpLimits.DEFAULT, 1_000, 10, 1_000, 1_000_000, 2, 10_000));

  private final class FakeConnection extends ScriptedConnection {
    private int requests;
    private long flushedBytes;
    private boolean flushesLastByte = true;

    FakeConnection(InetSocketAddress peer, Handler handler) {
      super(loop, peer, handler);
    }

    void respond() {
      receive("HTTP/1.1 204 No Content\r\n\r\n");
      loop.runTasks();
    }

    @Override
    public void write(ByteBuffer bytes) {
      requests++;
      flushedBytes += flushesLastByte ? bytes.remaining() : bytes.remaining() - 1;
    }

    @Override
    public long flushedBytes() {
      return flushedBytes;
    }
  }

  private final ResponseReceiver receiver =
      new ResponseReceiver() {
        @Override
        public void onComplete() {
          notifications.add("done");
        }

        @Override
        public void onFailure(RequestFailure failure, String reason) {
          notifications.add(failure.toString());
        }
      };

  private void send(InetSocketAddress to) {
    client.send(to, HttpEncoder.request("GET", "/", new Headers(), new byte[0]), receiver);
    loop.runTasks();
  }

  @Test
  void connectionIsReusedOnlyAfterTheReuseDelay() throws IOException {
    send(ADDRESS_A);
    connections.get(0).respond();
    send(ADDRESS_A);
    assertEquals(2, connections.size());
    loop.advance(11_000);
    connections.get(1).respond();
    send(ADDRESS_A);
    assertEquals(2, connections.get(0).requests);
  }

  @Test
  void longestIdleConnectionIsClosedForANewOne() throws IOException {
    send(ADDRESS_A);
    send(ADDRESS_A);
    send(ADDRESS_B);
    assertEquals(List.of("LOCAL_LIMIT_REACHED"), notifications);
    connections.get(1).respond();
    loop.advance(11_000);
    connections.get(0).respond();
    loop.advance(11_000);
    send(ADDRESS_B);
    assertEquals(3, connections.size());
    assertEquals(
        List.of(false, true),
        List.of(connections.get(0).isClosed(), connections.get(1).isClosed()));
    assertEquals(2, client.openConnections());
  }

  @Test
  void requestWithoutItsLastByteFlushedFailsAsNotSent() throws IOException {
    send(ADDRESS_A);
    connections.get(0).respond();
    loop.advance(11_000);
    connections.get(0).flushesLastByte = false;
    send(ADDRESS_A);
    connections.get(0).abort();
    loop.runTasks();
    send(ADDRESS_A);
    connections.get(1).abort();
    loop.runTasks();
    assertEquals(List.of("done", "NOT_SENT", "CONNECTION_LOST"), notifications);
  }

  @Test
  void idleConnectionThatReceivesBytesIsNotReused() throws IOException {
    send(ADDRESS_A);
    connections.get(0).respond();
    loop.advance(11_000);
    connections.get(0).respond();
    send(ADDRESS_A);
    assertEquals(2, connections.size());
    assertEquals(List.of("done"), notifications);
  }

  @Test
  void requestIsBuiltWhenItsConnectionIsEstablished() {
    client.send(
        ADDRESS_A,
        () -> {
          notifications.add("built");
          return Optional.of(
              OutgoingRequest.withoutLimit(
                  HttpEncoder.request("GET", "/", new Headers(), new byte[0])));
        },
        receiver);
    assertEquals(List.of(), notifications);
    loop.runTasks();
    assertEquals(List.of("built"), notifications);
    connections.get(0).respond();
    loop.advance(11_000);
    client.send(ADDRESS_A, Optional::empty, receiver);
    loop.runTasks();
    assertEquals(List.of("built", "done", "NOT_SENT"), notifications);
    assertEquals(1, connections.get(0).requests);
    send(ADDRESS_A);
    connections.get(0).respond();
    assertEquals(
        List.of("built", "done", "NOT_SENT", "done"),
        notifications,
        "the connection of a withdrawn request is reused");
    assertEquals(1, connections.size());
  }
}
