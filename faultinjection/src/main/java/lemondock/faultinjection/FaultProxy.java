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
 * A TCP proxy whose links can be cut, held, slowed and reset while they are in use. All its
 * connections are served by one thread; a {@link ProxyLink} may be changed from any thread.
 */
final class FaultProxy implements AutoCloseable {
  private static final int BUFFER_BYTES = 16 * 1024;

  /** Delayed bytes and links that pass again are looked at so often. */
  private static final int POLL_MILLIS = 2;

  private final Selector selector;
  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<ProxyLink> links = new CopyOnWriteArrayList<>();

  /** Connections with something to do; of the proxy's thread only. */
  private final Set<ProxyConnection> activeConnections = new LinkedHashSet<>();

  private final Thread thread;
  private final MachineStalls stalls;
  private volatile boolean closed;

  /** Begins to serve; turns of its own that take long are recorded as stalls. */
  FaultProxy(MachineStalls stalls) throws IOException {
    this.stalls = stalls;
    selector = Selector.open();
    thread = new Thread(this::serve, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** Makes a new address that leads to that one. */
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
      throw new IllegalStateException("a link cannot be served", e);
    }
  }

  /** Runs a task on the proxy's thread, from any thread. */
  void execute(Runnable task) {
    tasks.add(task);
    wakeUp();
  }

  /** Has the proxy's thread look at its connections again, from any thread. */
  void wakeUp() {
    selector.wakeup();
  }

  private void serve() {
    ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    try {
      while (!closed) {
        selector.select(POLL_MILLIS);
        final long beganMicros = MonotonicClock.nowMicros();
        runTasks();
        handleSelectedKeys();
        activeConnections.removeIf(
            connection -> !connection.advance(buffer) || !connection.isPending());
        stalls.recordWork(beganMicros, MonotonicClock.nowMicros());
      }
    } catch (IOException | ClosedSelectorException e) {
      if (!closed) {
        throw new IllegalStateException("the proxy failed", e);
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
      // the client has gone again
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

  /** Closes something whose failure to close loses nothing. */
  static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      // nothing is lost
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
