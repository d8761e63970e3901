package lemondock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP proxy whose links can be cut, held, slowed and reset while they are in use. All its
 * connections are served by one thread; a link may be changed from any thread.
 */
final class FaultProxy implements AutoCloseable {
  private static final int PIECE = 16 * 1024;
  private static final int BACKLOG = 256;
  private static final int MOST_HELD = 4 * 1024 * 1024;
  private static final int POLL_MILLIS = 2;

  private final Selector selector;
  private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final List<Link> links = new CopyOnWriteArrayList<>();

  /** Connections with something to do. */
  private final Set<Pair> active = new LinkedHashSet<>();

  private final Thread thread;
  private final MachineStalls stalls;
  private volatile boolean closed;

  /** What becomes of bytes in one direction. */
  enum Flow {
    /** They pass. */
    PASS,
    /**
     * They are taken from their sender and kept, closes and resets too; all of it is delivered once
     * the link passes again.
     */
    HOLD
  }

  /** What becomes of a new connection. */
  enum Admission {
    /** It is connected through. */
    ACCEPT,
    /** It is reset at once. */
    RESET,
    /** It comes up, and its far side is reached only once the link passes again. */
    HALF_OPEN
  }

  /** One address whose connections go to one upstream address. */
  final class Link {
    private final ServerSocketChannel port;
    private final List<Pair> open = new CopyOnWriteArrayList<>();
    private volatile InetSocketAddress upstream;
    private volatile Flow toServer = Flow.PASS;
    private volatile Flow toClient = Flow.PASS;
    private volatile Admission admission = Admission.ACCEPT;
    private volatile long delayMicros;

    /**
     * When each trouble of this link began, and when it was over; the last is open while it lasts.
     */
    private final DisturbanceLog troubles = new DisturbanceLog();

    private Link(InetSocketAddress upstream) throws IOException {
      this.upstream = upstream;
      this.port = ServerSocketChannel.open();
      port.bind(new InetSocketAddress("127.0.0.1", 0), BACKLOG);
      port.configureBlocking(false);
    }

    /** Where clients connect, as {@code host:port}. */
    String address() throws IOException {
      InetSocketAddress at = (InetSocketAddress) port.getLocalAddress();
      return at.getHostString() + ":" + at.getPort();
    }

    /** Sends new connections elsewhere from now on. */
    void upstream(InetSocketAddress next) {
      upstream = next;
    }

    /** Says what becomes of bytes in each direction and of new connections. */
    void set(Flow towardsServer, Flow towardsClient, Admission newConnections) {
      toServer = towardsServer;
      toClient = towardsClient;
      admission = newConnections;
      troubles.begin();
      selector.wakeup();
    }

    /** Delays all bytes by so much. */
    void delay(long micros) {
      delayMicros = micros;
      troubles.begin();
    }

    /** Lets all pass again and delivers what was held. */
    void heal() {
      set(Flow.PASS, Flow.PASS, Admission.ACCEPT);
      delayMicros = 0;
      troubles.end();
    }

    /** Resets every open connection; what was held is lost. */
    void reset() {
      troubles.moment();
      tasks.add(() -> List.copyOf(open).forEach(Pair::reset));
      selector.wakeup();
    }

    /** Whether nothing was wrong with this link between those moments. */
    boolean cleanBetween(long from, long until) {
      return troubles.noneBetween(from, until);
    }
  }

  /** One direction of a connection. */
  private final class Stream {
    private record Piece(ByteBuffer bytes, long due) {}

    private final SocketChannel from;
    private final SocketChannel to;
    private final boolean towardsServer;
    private final Link link;
    private final ArrayDeque<Piece> queue = new ArrayDeque<>();
    private int held;
    private boolean ended;
    private boolean endPassed;

    Stream(SocketChannel from, SocketChannel to, boolean towardsServer, Link link) {
      this.from = from;
      this.to = to;
      this.towardsServer = towardsServer;
      this.link = link;
    }

    boolean pending() {
      return !queue.isEmpty() || ended && !endPassed;
    }

    /** An end, and a full store, would be told again and again. */
    private void listen() {
      SelectionKey key = from.keyFor(selector);
      if (key != null && key.isValid()) {
        key.interestOps(ended || held >= MOST_HELD ? 0 : SelectionKey.OP_READ);
      }
    }

    boolean passes() {
      return (towardsServer ? link.toServer : link.toClient) == Flow.PASS;
    }

    /** Takes what has come; false if the sender's side is broken. */
    boolean read(ByteBuffer into) {
      try {
        while (!ended && held < MOST_HELD) {
          into.clear();
          int count = from.read(into);
          if (count < 0) {
            ended = true;
          }
          if (count <= 0) {
            return true;
          }
          byte[] copy = new byte[count];
          into.flip().get(copy);
          held += count;
          queue.add(new Piece(ByteBuffer.wrap(copy), MonotonicClock.now() + link.delayMicros));
        }
        return true;
      } catch (IOException e) {
        ended = true;
        return false;
      } finally {
        listen();
      }
    }

    /** Passes on what is due; false if the receiver's side is broken. */
    boolean write() {
      try {
        while (passes() && !queue.isEmpty() && queue.peek().due() <= MonotonicClock.now()) {
          ByteBuffer bytes = queue.peek().bytes();
          held -= to.write(bytes);
          if (bytes.hasRemaining()) {
            return true;
          }
          queue.poll();
        }
        if (ended && !endPassed && queue.isEmpty() && passes()) {
          endPassed = true;
          to.shutdownOutput();
        }
        return true;
      } catch (IOException e) {
        return false;
      }
    }
  }

  /** A connection and its far side. */
  private final class Pair {
    private final Link link;
    private final SocketChannel client;
    private final SocketChannel server;
    private Stream toServer;
    private Stream toClient;
    private boolean connecting;
    private boolean clientBroken;

    Pair(Link link, SocketChannel client) throws IOException {
      this.link = link;
      this.client = client;
      this.server = SocketChannel.open();
      client.configureBlocking(false);
      server.configureBlocking(false);
      client.setOption(StandardSocketOptions.TCP_NODELAY, true);
      server.setOption(StandardSocketOptions.TCP_NODELAY, true);
      toServer = new Stream(client, server, true, link);
      toClient = new Stream(server, client, false, link);
      client.register(selector, SelectionKey.OP_READ, this);
    }

    /**
     * Whether it has to be looked at again though nothing new comes: it connects, or holds
     * something back.
     */
    boolean pending() {
      return !server.isConnected() || clientBroken || toServer.pending() || toClient.pending();
    }

    /** Does all that can be done now; false when the pair is done with. */
    boolean step(ByteBuffer buffer) {
      try {
        if (!server.isConnected() && !connect()) {
          toServer.read(buffer);
          return true;
        }
        if (!clientBroken && !toServer.read(buffer)) {
          clientBroken = true; // a reset travels like bytes: only where the link passes
        }
        if (clientBroken && toServer.passes()) {
          reset();
          return false;
        }
        if (!toClient.read(buffer) && toClient.passes() || !toServer.write() || !toClient.write()) {
          reset();
          return false;
        }
        if (toServer.endPassed && toClient.endPassed) {
          close();
          return false;
        }
        return client.isOpen();
      } catch (IOException e) {
        reset();
        return false;
      }
    }

    private boolean connect() throws IOException {
      if (link.admission == Admission.HALF_OPEN || !toServer.passes()) {
        return false;
      }
      if (!connecting) {
        connecting = true;
        server.connect(link.upstream);
      }
      if (server.finishConnect()) {
        server.register(selector, SelectionKey.OP_READ, this);
        return true;
      }
      return false;
    }

    void reset() {
      for (SocketChannel side : List.of(client, server)) {
        try {
          if (side.isOpen()) {
            side.setOption(StandardSocketOptions.SO_LINGER, 0);
          }
        } catch (IOException e) {
          // closed in any case
        }
      }
      close();
    }

    private void close() {
      link.open.remove(this);
      quietly(client);
      quietly(server);
    }
  }

  /** Begins to serve; turns of its own that take long count as stalls. */
  FaultProxy(MachineStalls stalls) throws IOException {
    this.stalls = stalls;
    selector = Selector.open();
    thread = new Thread(this::serve, "fault-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  /** A new address that leads to that one. */
  Link link(InetSocketAddress upstream) throws IOException {
    Link link = new Link(upstream);
    links.add(link);
    tasks.add(
        () -> {
          try {
            link.port.register(selector, SelectionKey.OP_ACCEPT, link);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        });
    selector.wakeup();
    return link;
  }

  private void serve() {
    ByteBuffer buffer = ByteBuffer.allocateDirect(PIECE);
    try {
      while (!closed) {
        selector.select(POLL_MILLIS);
        final long begun = MonotonicClock.now();
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
          task.run();
        }
        for (SelectionKey key : selector.selectedKeys()) {
          if (key.attachment() instanceof Pair pair) {
            active.add(pair);
          } else if (key.isValid() && key.isAcceptable()) {
            accept((Link) key.attachment());
          }
        }
        selector.selectedKeys().clear();
        active.removeIf(pair -> !pair.step(buffer) || !pair.pending());
        stalls.worked(begun, MonotonicClock.now());
      }
    } catch (IOException | ClosedSelectorException e) {
      if (!closed) {
        throw new IllegalStateException("the proxy failed", e);
      }
    }
  }

  private void accept(Link link) {
    try {
      for (SocketChannel client = link.port.accept(); client != null; client = link.port.accept()) {
        Pair pair = new Pair(link, client);
        if (link.admission == Admission.RESET) {
          pair.reset();
        } else {
          link.open.add(pair);
          active.add(pair);
        }
      }
    } catch (IOException e) {
      // the client has gone again
    }
  }

  private static void quietly(AutoCloseable each) {
    try {
      each.close();
    } catch (Exception e) {
      // nothing is lost
    }
  }

  @Override
  public void close() {
    closed = true;
    selector.wakeup();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    selector.keys().forEach(key -> quietly(key.channel()));
    links.forEach(link -> link.open.forEach(Pair::reset));
    quietly(selector);
  }
}
