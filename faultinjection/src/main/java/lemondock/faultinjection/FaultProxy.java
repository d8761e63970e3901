package lemondock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy whose links can refuse, hold, delay and reset connections while they are in use. One
 * thread serves all connections; a {@link ProxyLink} may be changed from any thread.
 */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  /**
   * How often the proxy checks for delayed bytes that are due and for links that no longer hold
   * bytes.
   */
  private static final int POLL_INTERVAL_MILLIS = 2;

  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<ProxyLink> links = new CopyOnWriteArrayList<>();

  /** Connections that have work to do. Used by the proxy's thread only. */
  private final Set<ProxyConnection> activeConnections = new LinkedHashSet<>();

  private final Thread thread;
  private final MachineStalls stalls;
  private volatile boolean closed;

  /** Starts serving. Long iterations of the proxy's own loop are recorded as stalls. */
  FaultProxy(MachineStalls stalls) throws IOException {
    this.stalls = stalls;
    selector = Selector.open();
    thread = new Thread(this::serve, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** Creates a link with an address of its own, whose connections go to the upstream address. */
  ProxyLink createLink(InetSocketAddress upstream) throws IOException {
    ProxyLink link = new ProxyLink(this, upstream);
    links.add(link);
    execute(() -> register(link));
    return link;
  }

  private void register(ProxyLink link) {
    try {
      link.serverChannel().register(selector, SelectionKey.OP_ACCEPT, link);
    } catch (IOException e) {
      throw new IllegalStateException(
          "cannot register the link to " + link.upstream() + " with the proxy's selector", e);
    }
  }

  /** Runs a task on the proxy's thread. May be called from any thread. */
  void execute(Runnable task) {
    tasks.add(task);
    wakeUp();
  }

  /** Makes the proxy's thread check its active connections. May be called from any thread. */
  void wakeUp() {
    selector.wakeup();
  }

  private void serve() {
    ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    try {
      while (!closed) {
        selector.select(POLL_INTERVAL_MILLIS);
        final long startedMicros = MonotonicClock.nowMicros();
        runTasks();
        handleSelectedKeys();
        activeConnections.removeIf(
            connection -> !connection.advance(buffer) || !connection.isPending());
        stalls.recordDelay(startedMicros, MonotonicClock.nowMicros());
      }
    } catch (IOException | ClosedSelectorException e) {
      if (!closed) {
        throw new IllegalStateException("the loop of the fault proxy failed", e);
      }
    }
  }

  private void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  private void handleSelectedKeys() {
    for (SelectionKey key : selector.selectedKeys()) {
      if (key.attachment() instanceof ProxyConnection connection) {
        activeConnections.add(connection);
      } else if (key.isValid() && key.isAcceptable()) {
        accept((ProxyLink) key.attachment());
      }
    }
    selector.selectedKeys().clear();
  }

  private void accept(ProxyLink link) {
    try {
      Optional<SocketChannel> client = link.acceptNext();
      while (client.isPresent()) {
        open(link, client.get());
        client = link.acceptNext();
      }
    } catch (IOException e) {
      // the client has already disconnected
    }
  }

  private void open(ProxyLink link, SocketChannel client) throws IOException {
    ProxyConnection connection = new ProxyConnection(link, selector, client);
    if (link.admission() == LinkAdmission.RESET) {
      connection.reset();
    } else {
      link.addConnection(connection);
      activeConnections.add(connection);
    }
  }

  /** Closes a resource and ignores any failure, for resources whose data is no longer needed. */
  static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      // no data is lost
    }
  }

  /** Stops the proxy's thread, then closes all ports and resets all connections. */
  @Override
  public void close() {
    closed = true;
    wakeUp();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.keys().forEach(key -> closeQuietly(key.channel()));
    links.forEach(ProxyLink::resetConnections);
    closeQuietly(selector);
  }
}
