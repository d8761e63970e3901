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
 * A loop and a network on real sockets for each test, with plain sockets as the unruly other side.
 * A test fails if a task of its loop threw and the test did not take the failure.
 */
public final class NetworkExtension implements BeforeEachCallback, AfterEachCallback {
  private static final long WAIT_SECONDS = 10;
  private static final int SOCKET_TIMEOUT_MILLIS = 10_000;
  private static final String LOOP_THREAD_NAME = "test-loop";

  private final int shards;
  private final int acceptorsPerShard;
  private LinkedBlockingQueue<String> failures;
  private ThreadLoop loop;
  private AsyncNetwork network;

  /** Makes a network with so many I/O threads and listening sockets for each. */
  public NetworkExtension(int shards, int acceptorsPerShard) {
    this.shards = shards;
    this.acceptorsPerShard = acceptorsPerShard;
  }

  @Override
  public void beforeEach(ExtensionContext context) throws IOException {
    failures = new LinkedBlockingQueue<>();
    LinkedBlockingQueue<String> thrown = failures;
    loop = new ThreadLoop(LOOP_THREAD_NAME, e -> thrown.add(e.toString()));
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

  /** The loop. */
  public ThreadLoop loop() {
    return loop;
  }

  /** The network. */
  public AsyncNetwork network() {
    return network;
  }

  /** What tasks of the loop threw; a test that expects it takes it from here. */
  public LinkedBlockingQueue<String> failures() {
    return failures;
  }

  /** Starts a server on a free port. */
  public HttpServer serve(HttpServerOptions options, HttpService service) throws IOException {
    HttpServer server = new HttpServer(loop, options, service);
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
    return server;
  }

  /**
   * Runs a task that holds the loop still, on the loop's own thread: an I/O thread that has the
   * loop's context just now would stand still with it, and read nothing.
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

  /** What a supplier gives on the loop, within 10 s. */
  public <T> T onLoop(Supplier<T> supplier) {
    CompletableFuture<T> result = new CompletableFuture<>();
    loop.execute(() -> result.complete(supplier.get()));
    return result.orTimeout(WAIT_SECONDS, TimeUnit.SECONDS).join();
  }

  /** Connects a plain socket to a server. */
  public static Socket connect(HttpServer server) throws IOException {
    return connect(server.address());
  }

  /** Connects a plain socket to a port. */
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

  /** All that comes until the other side closes. */
  public static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
  }

  /** Writes a text and gives all that comes until the other side closes. */
  public static String ask(Socket socket, String text) throws IOException {
    write(socket, text);
    return readAll(socket);
  }

  /** Waits until a condition holds, and fails if it does not within 10 s. */
  public static void await(BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < deadline, "in vain");
      Thread.sleep(2);
    }
  }
}
