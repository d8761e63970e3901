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
import lemondock.exporter.Environment;
import lemondock.net.nio.AsyncNetwork;
import lemondock.net.nio.ThreadLoop;
import lemondock.net.nio.UdpDatagramSender;
import lemondock.net.nio.UnixDomainConnector;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The machine's own clock, sockets and threads for reports: one loop, one reading thread, one that
 * looks names up.
 */
public final class ReportHost implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ReportHost.class);
  private static final int MOST_LOOKUPS = 64;

  private final ThreadLoop loop;
  private final AsyncNetwork network;
  private final ExecutorService slow;

  /** Starts the threads; {@code name} begins their names. */
  public ReportHost(String name) throws IOException {
    loop = new ThreadLoop(name, e -> LOG.error("a task of the reports failed", e));
    network = new AsyncNetwork(loop, 1);
    slow =
        new ThreadPoolExecutor(
            0,
            2,
            5,
            TimeUnit.SECONDS,
            new LinkedBlockingQueue<>(MOST_LOOKUPS),
            task -> {
              Thread thread = new Thread(task, name + "-slow");
              thread.setDaemon(true);
              return thread;
            });
  }

  /** What reports are given. */
  public Environment environment() {
    UnixDomainConnector unix = new UnixDomainConnector(loop);
    return new Environment(
        loop,
        network,
        UdpDatagramSender::open,
        unix::connect,
        this::resolve,
        slow,
        () -> ThreadLocalRandom.current().nextDouble(),
        hostName());
  }

  /** The reports' loop. */
  public ThreadLoop loop() {
    return loop;
  }

  /** A look-up may block for long; where too many wait, this one fails and is tried again later. */
  private void resolve(
      String host, int port, Consumer<InetSocketAddress> found, Consumer<String> failed) {
    try {
      slow.execute(
          () -> {
            try {
              InetSocketAddress address = new InetSocketAddress(InetAddress.getByName(host), port);
              loop.execute(() -> found.accept(address));
            } catch (UnknownHostException e) {
              loop.execute(() -> failed.accept("the name " + host + " was not found"));
            }
          });
    } catch (RejectedExecutionException e) {
      loop.execute(() -> failed.accept("too many names are being looked up"));
    }
  }

  private static String hostName() {
    String told = System.getenv("HOSTNAME");
    if (told != null && !told.isBlank()) {
      return told;
    }
    try {
      return InetAddress.getLocalHost().getHostName();
    } catch (UnknownHostException e) {
      return "localhost";
    }
  }

  @Override
  public void close() {
    loop.execute(
        () -> {
          network.abortAll();
          loop.close();
        });
    try {
      loop.join(2_000);
      network.close();
    } catch (IOException e) {
      LOG.warn("the reports' sockets were not all closed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    slow.shutdownNow();
  }
}
