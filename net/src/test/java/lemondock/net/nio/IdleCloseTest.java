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
 * Tests that closing an idle connection loses no input that the I/O thread has read but not yet
 * delivered to the loop. A waiting task blocks the loop, so that this race happens in every run.
 */
@Timeout(20)
class IdleCloseTest {
  private static final long IDLE_TIMEOUT_MICROS = 200_000;
  private static final long FIRST_REQUEST_TIMEOUT_MICROS = 5_000_000;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

  @RegisterExtension private final NetworkExtension net = new NetworkExtension(1, 1);

  private final Semaphore decodedRequests = new Semaphore(0);
  private final CountDownLatch releaseLoop = new CountDownLatch(1);
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
                decodedRequests.release();
                return null;
              }

              @Override
              public void serve(HttpExchange exchange) {
                exchange.respond(200, new Headers(), "ok".getBytes(StandardCharsets.US_ASCII));
              }
            });
  }

  @AfterEach
  void unblockLoop() {
    releaseLoop.countDown();
  }

  private Socket connectAndSendRequest() throws Exception {
    Socket socket = connect(server);
    send(socket);
    assertOkResponse(socket);
    return socket;
  }

  private void send(Socket socket) throws Exception {
    write(socket, REQUEST);
    assertTrue(decodedRequests.tryAcquire(5, TimeUnit.SECONDS));
  }

  private static void assertOkResponse(Socket socket) throws IOException {
    StringBuilder received = new StringBuilder();
    while (received.indexOf("\r\n\r\nok") < 0) {
      int next = socket.getInputStream().read();
      assertTrue(next >= 0, "closed after " + received);
      received.append((char) next);
    }
    assertTrue(received.toString().startsWith("HTTP/1.1 200"), received.toString());
  }

  /**
   * Blocks the loop until it is released. It then runs the given task before anything that arrived
   * meanwhile.
   */
  private void blockLoopThenRun(Runnable firstTask) throws InterruptedException {
    CountDownLatch blocked = new CountDownLatch(1);
    net.executeOnLoopThread(() -> blockUntilReleased(blocked, firstTask));
    assertTrue(blocked.await(5, TimeUnit.SECONDS));
  }

  private void blockUntilReleased(CountDownLatch blocked, Runnable firstTask) {
    blocked.countDown();
    try {
      releaseLoop.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    firstTask.run();
  }

  @Test
  void requestReadBeforeIdleTimeoutIsServed() throws Exception {
    try (Socket socket = connectAndSendRequest()) {
      blockLoopThenRun(() -> {});
      send(socket);
      // the idle timer is due by then and runs before the input is delivered
      Thread.sleep(2 * IDLE_TIMEOUT_MICROS / 1_000);
      releaseLoop.countDown();
      assertOkResponse(socket);
      assertEquals(
          -1, socket.getInputStream().read(), "an idle connection is still closed afterwards");
    }
  }

  @Test
  void requestReadBeforeServerDrainsIsServed() throws Exception {
    try (Socket socket = connectAndSendRequest()) {
      blockLoopThenRun(server::drain);
      send(socket);
      releaseLoop.countDown();
      assertOkResponse(socket);
      assertEquals(-1, socket.getInputStream().read());
    }
  }

  @Test
  void requestReadBeforeEvictionOfItsConnectionIsServed() throws Exception {
    try (Socket oldest = connectAndSendRequest();
        Socket second = connectAndSendRequest();
        Socket third = connectAndSendRequest();
        Socket fourth = new Socket()) {
      blockLoopThenRun(() -> {});
      // the accepted connection is submitted to the loop before the request is
      fourth.connect(server.address());
      send(oldest);
      releaseLoop.countDown();
      assertOkResponse(oldest);
      send(second);
      assertOkResponse(second);
      send(third);
      assertOkResponse(third);
    }
  }

  /**
   * Bytes that arrive after the decision to close are discarded, but the close does not reset the
   * connection, so the client can still read the response.
   */
  @Test
  void requestAfterCloseIsDroppedWithoutReset() throws Exception {
    try (Socket socket = connectAndSendRequest()) {
      assertEquals(-1, socket.getInputStream().read());
      write(socket, REQUEST);
      assertEquals(-1, socket.getInputStream().read());
    }
    assertEquals(0, decodedRequests.availablePermits());
  }

  @Test
  void emptyLineKeepsIdleConnectionOpen() throws Exception {
    try (Socket socket = connectAndSendRequest();
        Socket later = connectAndSendRequest()) {
      blockLoopThenRun(() -> {});
      write(socket, "\r\n");
      // decoded by the same I/O thread, so the two earlier bytes have been read by then
      send(later);
      // the idle timer is due by then and runs before the input is delivered
      Thread.sleep(2 * IDLE_TIMEOUT_MICROS / 1_000);
      releaseLoop.countDown();
      assertOkResponse(later);
      send(socket);
      assertOkResponse(socket);
    }
  }
}
