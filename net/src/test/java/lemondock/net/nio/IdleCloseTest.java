package lemondock.net.nio;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A server closes an unused connection while a request is on its way: read by the I/O thread, not
 * yet handed to the loop. The loop is held still by a task that waits, so that the crossing is
 * certain.
 */
@Timeout(20)
class IdleCloseTest {
  private static final long IDLE = 200_000;
  private static final long FIRST = 5_000_000;
  private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
  private final LinkedBlockingQueue<String> failures = new LinkedBlockingQueue<>();
  private final Semaphore decoded = new Semaphore(0);
  private final CountDownLatch release = new CountDownLatch(1);
  private ThreadLoop loop;
  private AsyncNetwork network;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    loop = new ThreadLoop("test", e -> failures.add(e.toString()));
    network = new AsyncNetwork(loop, 1, 1);
    server =
        new HttpServer(
            loop,
            new HttpServerOptions(
                new HttpLimits(1000, 2000, 20, 10_000),
                4,
                15_000,
                IDLE,
                400_000,
                400_000,
                Integer.MAX_VALUE,
                Runnable::run,
                FIRST,
                true),
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
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
  }

  @AfterEach
  void stop() throws IOException {
    release.countDown();
    assertTrue(failures.isEmpty(), failures.toString());
    loop.execute(network::abortAll);
    network.close();
    loop.close();
  }

  private Socket served() throws Exception {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.address().getPort());
    socket.setSoTimeout(10_000);
    send(socket);
    assertAnswered(socket);
    return socket;
  }

  private void send(Socket socket) throws Exception {
    socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
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
    loop.execute(() -> hold(held, first));
    assertTrue(held.await(5, TimeUnit.SECONDS));
  }

  /**
   * On the loop's own thread: an I/O thread that has the context just now would stand still with
   * it, and read nothing.
   */
  private void hold(CountDownLatch held, Runnable first) {
    if (IoThread.current() != null) {
      loop.execute(() -> hold(held, first));
      return;
    }
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
      Thread.sleep(2 * IDLE / 1_000); // the idle timer is due now, and runs before what was read is
      // handed over
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
      fourth.connect(
          server.address()); // its acceptance is handed to the loop before the request is
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
  void aRequestBehindTheEndOfSendingIsNotServedAndNotReset() throws Exception {
    try (Socket socket = served()) {
      assertEquals(-1, socket.getInputStream().read());
      socket.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      assertEquals(-1, socket.getInputStream().read());
    }
    assertEquals(0, decoded.availablePermits());
  }

  @Test
  void lessThanABeginningLeavesTheConnectionUnused() throws Exception {
    try (Socket socket = served();
        Socket later = served()) {
      holdLoopThen(() -> {});
      socket.getOutputStream().write("\r\n".getBytes(StandardCharsets.US_ASCII));
      send(later); // decoded by the same I/O thread, so the two bytes that came before it
      // are read by then
      Thread.sleep(2 * IDLE / 1_000); // the idle timer is due now, and runs before what was read is
      // handed over
      release.countDown();
      assertAnswered(later);
      send(socket);
      assertAnswered(socket);
    }
  }
}
