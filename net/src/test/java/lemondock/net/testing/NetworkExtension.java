package lemondock.net.testing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import lemondock.net.Network;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import org.junit.jupiter.api.extension.AfterEachCallback;
import org.junit.jupiter.api.extension.BeforeEachCallback;
import org.junit.jupiter.api.extension.ExtensionContext;

/**
 * Provides a loop and a network on real sockets for each test, and plain sockets for misbehaving
 * peers. A test fails if a task of its loop threw and the test did not remove the failure from
 * {@link #failures}.
 */
public final class NetworkExtension implements BeforeEachCallback, AfterEachCallback {
  private static final long WAIT_TIMEOUT_SECONDS = 10;
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final String LOOP_THREAD_NAME = "test-loop";

  private final int shards;
  private final int acceptorsPerShard;
  private LinkedBlockingQueue<String> failures;
  private ThreadLoop loop;
  private AsyncNetwork network;

  /**
   * Creates an extension whose networks have the given number of I/O threads and of listening
   * sockets per port and thread.
   */
  public NetworkExtension(int shards, int acceptorsPerShard) {
    this.shards = shards;
    this.acceptorsPerShard = acceptorsPerShard;
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    failures = new LinkedBlockingQueue<>();
    LinkedBlockingQueue<String> reportedFailures = failures;
    loop = new ThreadLoop(LOOP_THREAD_NAME, failure -> reportedFailures.add(failure.toString()));
    network = new AsyncNetwork(loop, shards, acceptorsPerShard);
  }

  @Override
  public void afterEach(ExtensionContext context) throws IOException {
    try {
      assertTrue(failures.isEmpty(), failures.toString());
    } finally {
      loop.execute(network::abortAll);
      network.close();
      loop.close();
    }
  }

  /** The loop of the current test. */
  public ThreadLoop loop() {
    return loop;
  }

  /** The network of the current test. */
  public AsyncNetwork network() {
    return network;
  }

  /** Failures thrown by tasks of the loop; a test that expects one removes it from here. */
  public LinkedBlockingQueue<String> failures() {
    return failures;
  }

  /** Starts a server on a free loopback port. */
  public HttpServer serve(HttpServerOptions options, HttpService service) throws IOException {
    HttpServer server = new HttpServer(loop, options, service);
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
    return server;
  }

  /**
   * Runs a task that blocks the loop, on the loop's dedicated thread. On an I/O thread that happens
   * to hold the loop's context, the task would block that thread too, and it would read nothing.
   */
  public void executeOnLoopThread(Runnable task) {
    loop.execute(
        () -> {
          if (Thread.currentThread().getName().equals(LOOP_THREAD_NAME)) {
            task.run();
          } else {
            executeOnLoopThread(task);
          }
        });
  }

  /** Calls a supplier on the loop and returns its result; fails after 10 s. */
  public <T> T onLoop(Supplier<T> supplier) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(supplier.get()));
    return result.orTimeout(WAIT_TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
  }

  /** Connects a plain socket to a server. */
  public static Socket connect(HttpServer server) throws IOException {
    return connect(server.address());
  }

  /** Connects a plain socket to a listening port. */
  public static Socket connect(Network.Listener port) throws IOException {
    return connect(port.address());
  }

  private static Socket connect(InetSocketAddress address) throws IOException {
    Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort());
    socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
    return socket;
  }

  /** Writes a text, each character as a byte. */
  public static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Reads until the other side closes; each byte becomes a character. */
  public static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Writes a text and reads until the other side closes. */
  public static String ask(Socket socket, String text) throws IOException {
    write(socket, text);
    return readAll(socket);
  }

  /** Waits until a condition holds, and fails if it does not within 10 s. */
  public static void await(BooleanSupplier condition) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(
          System.nanoTime() < deadlineNanos,
          "condition not met within " + WAIT_TIMEOUT_SECONDS + " s");
      Thread.sleep(2);
    }
  }
}
