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

/** The pool's bounds, on a clock and a network moved by hand. */
class HttpClientTest {
  private static final InetSocketAddress A = new InetSocketAddress("127.0.0.1", 1);
  private static final InetSocketAddress B = new InetSocketAddress("127.0.0.1", 2);

  private final ManualLoop loop = new ManualLoop(0);
  private final List<String> heard = new ArrayList<>();
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
    private long taken;
    private boolean takes = true;

    FakeConnection(InetSocketAddress peer, Handler handler) {
      super(loop, peer, handler);
    }

    void answer() {
      receive("HTTP/1.1 204 No Content\r\n\r\n");
      loop.runTasks();
    }

    @Override
    public void write(ByteBuffer bytes) {
      requests++;
      taken += takes ? bytes.remaining() : bytes.remaining() - 1;
    }

    @Override
    public long flushedBytes() {
      return taken;
    }
  }

  private final ResponseReceiver receiver =
      new ResponseReceiver() {
        @Override
        public void onComplete() {
          heard.add("done");
        }

        @Override
        public void onFailure(RequestFailure failure, String what) {
          heard.add(failure.toString());
        }
      };

  private void send(InetSocketAddress to) {
    client.send(to, HttpEncoder.request("GET", "/", new Headers(), new byte[0]), receiver);
    loop.runTasks();
  }

  @Test
  void aConnectionIsQuietForAWhileBeforeItIsUsedAgain() throws IOException {
    send(A);
    connections.get(0).answer();
    send(A);
    assertEquals(2, connections.size());
    loop.advance(11_000);
    connections.get(1).answer();
    send(A);
    assertEquals(2, connections.get(0).requests);
  }

  @Test
  void theConnectionIdleForLongestMakesRoomForAnother() throws IOException {
    send(A);
    send(A);
    send(B);
    assertEquals(List.of("LOCAL_LIMIT_REACHED"), heard);
    connections.get(1).answer();
    loop.advance(11_000);
    connections.get(0).answer();
    loop.advance(11_000);
    send(B);
    assertEquals(3, connections.size());
    assertEquals(
        List.of(false, true),
        List.of(connections.get(0).isClosed(), connections.get(1).isClosed()));
    assertEquals(2, client.openConnections());
  }

  @Test
  void aRequestWhoseLastByteWasNotSentProvablyNeverRan() throws IOException {
    send(A);
    connections.get(0).answer();
    loop.advance(11_000);
    connections.get(0).takes = false;
    send(A);
    connections.get(0).abort();
    loop.runTasks();
    send(A);
    connections.get(1).abort();
    loop.runTasks();
    assertEquals(List.of("done", "NOT_SENT", "CONNECTION_LOST"), heard);
  }

  @Test
  void anIdleConnectionThatReceivesBytesIsNotUsedAgain() throws IOException {
    send(A);
    connections.get(0).answer();
    loop.advance(11_000);
    connections.get(0).answer();
    send(A);
    assertEquals(2, connections.size());
    assertEquals(List.of("done"), heard);
  }

  @Test
  void aRequestIsMadeWhenItsConnectionIsUp() {
    client.send(
        A,
        () -> {
          heard.add("made");
          return Optional.of(HttpEncoder.request("GET", "/", new Headers(), new byte[0]));
        },
        receiver);
    assertEquals(List.of(), heard);
    loop.runTasks();
    assertEquals(List.of("made"), heard);
    connections.get(0).answer();
    loop.advance(11_000);
    client.send(A, Optional::empty, receiver);
    loop.runTasks();
    assertEquals(List.of("made", "done", "NOT_SENT"), heard);
    assertEquals(1, connections.get(0).requests);
    send(A);
    connections.get(0).answer();
    assertEquals(
        List.of("made", "done", "NOT_SENT", "done"),
        heard,
        "the connection of a withdrawn request is used again");
    assertEquals(1, connections.size());
  }
}
