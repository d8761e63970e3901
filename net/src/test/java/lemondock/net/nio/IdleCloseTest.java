package lemondock.net.nio;

import static lemondock.net.testing.NetworkExtension.connect;
import static lemondock.net.testing.NetworkExtension.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;
import lemondock.net.testing.NetworkExtension;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/**
 * A server closes an unused connection while a request is on its way: read by the I/O thread, not
 * yet handed to the loop. The loop is held still by a task that waits, so that the crossing is
 * certain.
 */
@Timeout(20)
class IdleCloseTest {
  private static final long IDLE_TIMEOUT_MICROS = 200_000;
  private static final long FIRST_REQUEST_TIMEOUT_MICROS = 5_000_000;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  private final Semaphore decoded = new Semaphore(0);
  private final CountDownLatch release = new CountDownLatch(1);
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    server =
        net.serve(
            HttpServerOptions.builder()
                .limits(new HttpLimits(1000, 2000, 20, 10_000))
                .maxConnections(4)
                .maxBufferedBodyBytes(15_000)
                .idleTimeoutMicros(IDLE_TIMEOUT_MICROS)
                .requestTimeoutMicros(400_000)
                .stallTimeoutMicros(400_000)
                .firstRequestTimeoutMicros(FIRST_REQUEST_TIMEOUT_MICROS)
                .discardExcessRequests()
                .build(),
            new HttpService() {
              @Override
              public Object prepare(HttpRequest request) {
                decoded.release();
                return null;
              }

              @Override
              public void serve(HttpExchange exchange) {
                exchange.respond(200, new Headers(), "ok".getBytes(StandardCharsets.US_ASCII));
              }
            });
  }

  @AfterEach
  void releaseLoop() {
    release.countDown();
  }

  private Socket served() throws Exception {
    Socket socket = connect(server);
    send(socket);
    assertAnswered(socket);
    return socket;
  }

  private void send(Socket socket) throws Exception {
    write(socket, REQUEST);
    assertTrue(decoded.tryAcquire(5, TimeUnit.SECONDS));
  }

  private static void assertAnswered(Socket socket) throws IOException {
    StringBuilder got = new StringBuilder();
    while (got.indexOf("\r\n\r\nok") < 0) {
      int next = socket.getInputStream().read();
      assertTrue(next >= 0, "closed after " + got);
      got.append((char) next);
    }
    assertTrue(got.toString().startsWith("HTTP/1.1 200"), got.toString());
  }

  /**
   * Holds the loop still; what is run first when it goes on comes before anything that arrives
   * meanwhile.
   */
  private void holdLoopThen(Runnable first) throws InterruptedException {
    CountDownLatch held = new CountDownLatch(1);
    net.executeOnLoopThread(() -> hold(held, first));
    assertTrue(held.await(5, TimeUnit.SECONDS));
  }

  private void hold(CountDownLatch held, Runnable first) {
    held.countDown();
    try {
      release.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    first.run();
  }

  @Test
  void aRequestReadBeforeTheIdleTimeEndsIsServed() throws Exception {
    try (Socket socket = served()) {
      holdLoopThen(() -> {});
      send(socket);
      // the idle timer is due by then, and runs before what was read is handed over
      Thread.sleep(2 * IDLE_TIMEOUT_MICROS / 1_000);
      release.countDown();
      assertAnswered(socket);
      assertEquals(
          -1, socket.getInputStream().read(), "an unused connection is closed all the same");
    }
  }

  @Test
  void aRequestReadBeforeTheServerDrainsIsServed() throws Exception {
    try (Socket socket = served()) {
      holdLoopThen(server::drain);
      send(socket);
      release.countDown();
      assertAnswered(socket);
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void aRequestReadBeforeItsConnectionMakesRoomIsServed() throws Exception {
    try (Socket oldest = served();
        Socket second = served();
        Socket third = served();
        Socket fourth = new Socket()) {
      holdLoopThen(() -> {});
      // its acceptance is handed to the loop before the request is
      fourth.connect(server.address());
      send(oldest);
      release.countDown();
      assertAnswered(oldest);
      send(second);
      assertAnswered(second);
      send(third);
      assertAnswered(third);
    }
  }

  /**
   * Bytes that come after the decision are dropped, but the close is one that lets the client read
   * what it was sent.
   */
  @Test
  void aRequestAfterTheCloseIsNeitherServedNorReset() throws Exception {
    try (Socket socket = served()) {
      assertEquals(-1, socket.getInputStream().read());
      write(socket, REQUEST);
      assertEquals(-1, socket.getInputStream().read());
    }
    assertEquals(0, decoded.availablePermits());
  }

  @Test
  void anEmptyLineLeavesTheConnectionUnused() throws Exception {
    try (Socket socket = served();
        Socket later = served()) {
      holdLoopThen(() -> {});
      write(socket, "\r\n");
      // decoded by the same I/O thread, so the two bytes that came before it are read by then
      send(later);
      // the idle timer is due by then, and runs before what was read is handed over
      Thread.sleep(2 * IDLE_TIMEOUT_MICROS / 1_000);
      release.countDown();
      assertAnswered(later);
      send(socket);
      assertAnswered(socket);
    }
  }
}
