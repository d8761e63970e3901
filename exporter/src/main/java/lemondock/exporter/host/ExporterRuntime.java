package lemondock.exporter.host;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.exporter.ExporterEnvironment;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.UdpDatagramSender;
import lemondock.net.nio.UnixDomainConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The threads of the exporters: a loop, an I/O thread, and up to two threads for what may block,
 * which are names to resolve and files to write. Any thread.
 */
public final class ExporterRuntime implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ExporterRuntime.class);
  private static final int IO_THREADS = 1;
  private static final int MAX_BLOCKING_THREADS = 2;
  private static final int MAX_QUEUED_BLOCKING_TASKS = 64;
  private static final long BLOCKING_THREAD_IDLE_SECONDS = 5;
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private final ThreadLoop loop;
  private final AsyncNetwork network;
  private final ExecutorService blockingExecutor;

  /**
   * Starts the threads.
   *
   * @param name prefix of the threads' names
   * @throws IOException if the network cannot be opened
   */
  public ExporterRuntime(String name) throws IOException {
    loop = new ThreadLoop(name, e -> LOG.error("a task of the reports failed", e));
    network = new AsyncNetwork(loop, IO_THREADS);
    blockingExecutor =
        new ThreadPoolExecutor(
            0,
            MAX_BLOCKING_THREADS,
            BLOCKING_THREAD_IDLE_SECONDS,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MAX_QUEUED_BLOCKING_TASKS),
            task -> newDaemonThread(task, name + "-slow"));
  }

  private static Thread newDaemonThread(Runnable task, String name) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    return thread;
  }

  /** The environment for exporters on these threads. */
  public ExporterEnvironment environment() {
    UnixDomainConnector unixDomainConnector = new UnixDomainConnector(loop);
    return new ExporterEnvironment(
        loop,
        network,
        UdpDatagramSender::open,
        unixDomainConnector::connect,
        this::resolve,
        blockingExecutor,
        () -> ThreadLocalRandom.current().nextDouble(),
        hostName());
  }

  /** The exporters' loop. */
  public ThreadLoop loop() {
    return loop;
  }

  /** Resolves a host on a blocking thread; fails at once if too many tasks are queued there. */
  private void resolve(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed) {
    try {
      blockingExecutor.execute(() -> resolveBlocking(host, port, onResolved, onFailed));
    } catch (RejectedExecutionException e) {
      loop.execute(() -> onFailed.accept(new IOException("too many names are being looked up")));
    }
  }

  private void resolveBlocking(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed) {
    try {
      InetSocketAddress address = new InetSocketAddress(InetAddress.getByName(host), port);
      loop.execute(() -> onResolved.accept(address));
    } catch (UnknownHostException e) {
      IOException cause = new IOException("the name " + host + " was not found", e);
      loop.execute(() -> onFailed.accept(cause));
    }
  }

  private static String hostName() {
    String fromEnvironment = System.getenv("HOSTNAME");
    if (fromEnvironment != null && !fromEnvironment.isBlank()) {
      return fromEnvironment;
    }
    try {
      return InetAddress.getLocalHost().getHostName();
    } catch (UnknownHostException e) {
      return "localhost";
    }
  }

  /** Closes all sockets and stops the threads. */
  @Override
  public void close() {
    loop.execute(
        () -> {
          network.abortAll();
          loop.close();
        });
    try {
      loop.join(CLOSE_TIMEOUT_MILLIS);
      network.close();
    } catch (IOException e) {
      LOG.warn("the reports' sockets were not all closed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    blockingExecutor.shutdownNow();
  }
}
