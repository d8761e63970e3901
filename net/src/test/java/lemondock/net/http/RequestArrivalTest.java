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

/** Requests that came while the thread that reads them did something else count from then. */
@Timeout(20)
class RequestArrivalTest {
  private static final String BLOCKING = "/blocking";
  private static final long BLOCKED_MILLIS = 600;
  private static final long SETTLE_MILLIS = 250;

  /** Two intervals of the marks, and what lies between the clocks of this test. */
  private static final long TOLERANCE_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  /** When each target's request is taken to have arrived. */
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
    serveOne("/first");
    sleep(SETTLE_MILLIS);
  }

  @AfterEach
  void closeSockets() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  @Test
  void aRequestOnAnOpenConnectionCountsFromItsArrival() throws Exception {
    Socket open = serveOne("/opening");
    sleep(SETTLE_MILLIS);
    block();
    long sentMicros = send(open, "/late");
    assertTrue(awaitArrival("/late") <= sentMicros + TOLERANCE_MICROS, lateBy("/late", sentMicros));
  }

  /** New connections wait to be accepted one after another. */
  @Test
  void requestsOfACrowdOfNewConnectionsCountFromTheirArrival() throws Exception {
    block();
    long[] sentMicros = new long[30];
    for (int i = 0; i < sentMicros.length; i++) {
      sentMicros[i] = send(open(), "/crowd" + i);
    }
    for (int i = 0; i < sentMicros.length; i++) {
      String target = "/crowd" + i;
      assertTrue(
          awaitArrival(target) <= sentMicros[i] + TOLERANCE_MICROS, lateBy(target, sentMicros[i]));
    }
  }

  @Test
  void aRequestInPiecesCountsFromItsLastPiece() throws Exception {
    Socket open = serveOne("/opening");
    write(open, "GET /pieces HTTP/1.1\r\n");
    sleep(SETTLE_MILLIS);
    block();
    long sentMicros = net.loop().now();
    write(open, "host: a\r\n\r\n");
    long arrived = awaitArrival("/pieces");
    assertTrue(arrived <= sentMicros + TOLERANCE_MICROS, lateBy("/pieces", sentMicros));
    assertTrue(arrived >= sentMicros - TOLERANCE_MICROS, "the first piece does not count");
  }

  /** Most, for the machine may hold up single ones. */
  @Test
  void mostRequestsOfAQuietProcessCountFromTheMomentOfReading() throws Exception {
    Socket open = serveOne("/opening");
    int early = 0;
    for (int i = 0; i < 20; i++) {
      sleep(30);
      long sentMicros = send(open, "/quiet" + i);
      if (awaitArrival("/quiet" + i) < sentMicros) {
        early++;
      }
    }
    assertTrue(early <= 5, early + " of 20 requests counted from before they were sent");
  }

  private Socket open() throws IOException {
    Socket socket = connect(server);
    sockets.add(socket);
    return socket;
  }

  private Socket serveOne(String target) throws Exception {
    Socket socket = open();
    send(socket, target);
    awaitArrival(target);
    return socket;
  }

  private long send(Socket socket, String target) throws IOException {
    long sentMicros = net.loop().now();
    write(socket, "GET " + target + " HTTP/1.1\r\nhost: a\r\n\r\n");
    return sentMicros;
  }

  /** From here on the thread that reads does nothing for a while. */
  private void block() throws Exception {
    send(open(), BLOCKING);
    awaitArrival(BLOCKING);
  }

  private long awaitArrival(String target) throws InterruptedException {
    await(() -> arrivedMicros.containsKey(target));
    return arrivedMicros.get(target);
  }

  private String lateBy(String target, long sentMicros) {
    return target + " counts from " + (arrivedMicros.get(target) - sentMicros) + " us later";
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
