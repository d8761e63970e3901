package lemondock.net.http;

import static lemondock.net.testing.NetworkExtension.await;
import static lemondock.net.testing.NetworkExtension.connect;
import static lemondock.net.testing.NetworkExtension.write;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * Tests that the arrival time of a request is correct even if it arrived while the I/O thread was
 * blocked.
 */
@Timeout(20)
class RequestArrivalTest {
  private static final String BLOCKING = "/blocking";
  private static final long BLOCKED_MILLIS = 600;
  private static final long IDLE_MILLIS = 250;

  /**
   * Two intervals of the arrival clock's markers, plus the difference between the test's clocks.
   */
  private static final long TOLERANCE_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  /** Arrival time that the server reports for each request target. */
  private final Map<String, Long> arrivedMicros = new ConcurrentHashMap<>();

  private final List<Socket> sockets = new ArrayList<>();
  private HttpServer server;

  @BeforeEach
  void start() throws Exception {
    server =
        net.serve(
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(100)
                .maxBufferedBodyBytes(64 * 1024)
                .idleTimeoutMicros(10_000_000)
                .requestTimeoutMicros(10_000_000)
                .stallTimeoutMicros(10_000_000)
                .build(),
            new HttpService() {
              @Override
              public Object prepare(HttpRequest request) {
                arrivedMicros.put(request.target(), request.arrivedMicros());
                if (request.target().equals(BLOCKING)) {
                  sleep(BLOCKED_MILLIS);
                }
                return null;
              }

              @Override
              public void serve(HttpExchange exchange) {
                exchange.respond(200, new Headers(), new byte[0]);
              }
            });
    sendAndAwaitArrival("/first");
    sleep(IDLE_MILLIS);
  }

  @AfterEach
  void closeSockets() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Test
  void requestOnOpenConnectionHasItsArrivalTime() throws Exception {
    Socket open = sendAndAwaitArrival("/opening");
    sleep(IDLE_MILLIS);
    blockIoThread();
    long sentMicros = send(open, "/late");
    assertTrue(
        awaitArrival("/late") <= sentMicros + TOLERANCE_MICROS, describeDelay("/late", sentMicros));
  }

  /** The connections have to be accepted one after another. */
  @Test
  void requestsOnManyNewConnectionsHaveTheirArrivalTimes() throws Exception {
    blockIoThread();
    long[] sentMicros = new long[30];
    for (int i = 0; i < sentMicros.length; i++) {
      sentMicros[i] = send(openConnection(), "/new" + i);
    }
    for (int i = 0; i < sentMicros.length; i++) {
      String target = "/new" + i;
      assertTrue(
          awaitArrival(target) <= sentMicros[i] + TOLERANCE_MICROS,
          describeDelay(target, sentMicros[i]));
    }
  }

  @Test
  void requestInPiecesHasArrivalTimeOfItsLastPiece() throws Exception {
    Socket open = sendAndAwaitArrival("/opening");
    write(open, "GET /pieces HTTP/1.1\r\n");
    sleep(IDLE_MILLIS);
    blockIoThread();
    long sentMicros = net.loop().now();
    write(open, "host: a\r\n\r\n");
    long arrival = awaitArrival("/pieces");
    assertTrue(arrival <= sentMicros + TOLERANCE_MICROS, describeDelay("/pieces", sentMicros));
    assertTrue(
        arrival >= sentMicros - TOLERANCE_MICROS, "the first piece must not set the arrival time");
  }

  /**
   * Allows a few arrival times that are too early, because the machine may delay single requests.
   */
  @Test
  void arrivalTimesInAnIdleProcessAreRarelyTooEarly() throws Exception {
    Socket open = sendAndAwaitArrival("/opening");
    int tooEarly = 0;
    for (int i = 0; i < 20; i++) {
      sleep(30);
      long sentMicros = send(open, "/quiet" + i);
      if (awaitArrival("/quiet" + i) < sentMicros) {
        tooEarly++;
      }
    }
    assertTrue(
        tooEarly <= 5, tooEarly + " of 20 requests have an arrival time before they were sent");
  }

  private Socket openConnection() throws IOException {
    Socket socket = connect(server);
    sockets.add(socket);
    return socket;
  }

  private Socket sendAndAwaitArrival(String target) throws Exception {
    Socket socket = openConnection();
    send(socket, target);
    awaitArrival(target);
    return socket;
  }

  private long send(Socket socket, String target) throws IOException {
    long sentMicros = net.loop().now();
    write(socket, "GET " + target + " HTTP/1.1\r\nhost: a\r\n\r\n");
    return sentMicros;
  }

  /** Blocks the I/O thread for {@link #BLOCKED_MILLIS}; returns once it is blocked. */
  private void blockIoThread() throws Exception {
    send(openConnection(), BLOCKING);
    awaitArrival(BLOCKING);
  }

  private long awaitArrival(String target) throws InterruptedException {
    await(() -> arrivedMicros.containsKey(target));
    return arrivedMicros.get(target);
  }

  private String describeDelay(String target, long sentMicros) {
    return target
        + ": arrival time is "
        + (arrivedMicros.get(target) - sentMicros)
        + " us after sending";
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
