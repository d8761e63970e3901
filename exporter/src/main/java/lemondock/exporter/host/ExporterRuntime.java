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
 * The threads of the exporters: a loop, an I/O thread, and up to two threads for operations that
 * may block, such as resolving host names and writing files. Thread-safe.
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
   * @param name name of the loop's thread and prefix of the names of the blocking threads
   * @throws IOException if the network cannot be opened
   */
  public ExporterRuntime(String name) throws IOException {
    loop = new ThreadLoop(name, e -> LOG.error("a task on the exporters' loop failed", e));
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

  /** Creates an environment for exporters that run on these threads. */
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

  /** Resolves a host on a blocking thread; fails immediately if the queue of tasks is full. */
  private void resolve(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed) {
    try {
      blockingExecutor.execute(() -> resolveBlocking(host, port, onResolved, onFailed));
    } catch (RejectedExecutionException e) {
      loop.execute(
          () ->
              onFailed.accept(
                  new IOException(
                      "host "
                          + host
                          + " was not resolved: the task was rejected, at most "
                          + MAX_QUEUED_BLOCKING_TASKS
                          + " may be queued")));
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
      IOException cause = new IOException("host " + host + " could not be resolved", e);
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
      LOG.warn("closing the exporters' network failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    blockingExecutor.shutdownNow();
  }
}
