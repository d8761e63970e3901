package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.DelayProbe;
import lemondock.net.LocalResourcesExhaustedException;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * Connections on the JDK's asynchronous socket channels. Each I/O thread has a channel group of its
 * own (a shard): with several threads in one group the JDK hands each event from the thread that
 * polls to another one, a wake-up a token. A thread that brings bytes decodes them, has them
 * handled in the loop's context if that is free, and writes what comes of it.
 *
 * <p>A socket's queue of writes is under its own lock, all other state is the loop's. System calls
 * are made outside the loop's context.
 */
public final class AsyncNetwork implements Network, AutoCloseable {
  /**
   * Listening sockets a shard: the JDK takes one connection from each a round through all that is
   * ready, and with many ready a round is long.
   */
  private static final int ACCEPTORS_PER_SHARD = 8;

  private final ThreadLoop loop;
  private final AsynchronousChannelGroup[] shards;
  private final ArrivalClock[] arrivalClocks;
  private final int acceptorsPerShard;

  // Loop thread only, each from here on:
  private int nextShard;
  private final Set<AsyncConnection> openConnections = new HashSet<>();
  private final Set<ListeningPort> ports = new HashSet<>();

  /** Any thread. */
  private final List<ShardDelayProbe> probes = new CopyOnWriteArrayList<>();

  /**
   * Makes a network whose callbacks come on the given loop.
   *
   * @param threads I/O threads, each a shard
   * @throws IOException if the system has no room for their selectors
   */
  public AsyncNetwork(ThreadLoop loop, int threads) throws IOException {
    this(loop, threads, ACCEPTORS_PER_SHARD);
  }

  /**
   * The same with so many listening sockets a port and I/O thread. One thread with one needs no
   * shared port: some hosts allow only one socket at an address, and a gateway that few connections
   * come to gains nothing by more.
   */
  public AsyncNetwork(ThreadLoop loop, int threads, int acceptorsPerShard) throws IOException {
    this.loop = loop;
    this.acceptorsPerShard = acceptorsPerShard;
    this.shards = new AsynchronousChannelGroup[threads];
    this.arrivalClocks = new ArrivalClock[threads];
    for (int i = 0; i < threads; i++) {
      int shard = i;
      shards[i] =
          AsynchronousChannelGroup.withFixedThreadPool(1, task -> new IoThread(task, shard));
      arrivalClocks[i] = new ArrivalClock(loop, shards[i]);
    }
  }

  /**
   * Listens in all shards on one port; the system spreads the connections. Ports shared so may be
   * shared by other processes of the same user too, so the port is first taken alone: that fails if
   * anybody has it. Any thread.
   */
  @Override
  public Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException {
    int acceptors = shards.length * acceptorsPerShard;
    InetSocketAddress shared = acceptors > 1 ? takeAlone(address) : null;
    ListeningPort port = new ListeningPort(this, loop, maxConnections, handlers);
    if (shared == null) {
      port.bind(address, shards, 1, false);
    } else {
      port.bind(shared, shards, acceptors, true);
    }
    loop.execute(
        () -> {
          ports.add(port);
          port.acceptAll();
        });
    return port;
  }

  /** The address, taken alone for a moment; null where ports cannot be shared. */
  private InetSocketAddress takeAlone(InetSocketAddress address) throws IOException {
    try (AsynchronousServerSocketChannel alone = AsynchronousServerSocketChannel.open(shards[0])) {
      alone.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      alone.bind(address, ListeningPort.BACKLOG);
      return alone.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)
          ? (InetSocketAddress) alone.getLocalAddress()
          : null;
    }
  }

  /** Connects in the calling I/O thread's shard, from elsewhere in each in turn. */
  @Override
  public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
    IoThread thread = IoThread.current();
    int shard =
        thread != null && thread.shard() < shards.length
            ? thread.shard()
            : nextShard++ % shards.length;
    connect(address, timeoutMicros, shard, handler);
  }

  @Override
  public void connect(
      InetSocketAddress address, long timeoutMicros, int shard, Connection.Handler handler) {
    int number = Math.floorMod(shard, shards.length);
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(shards[number]);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | ShutdownChannelGroupException e) {
      IOException cause =
          new LocalResourcesExhaustedException("no socket can be opened: " + e.getMessage(), e);
      loop.execute(() -> handler.closed(cause));
      return;
    }
    AsyncConnection connection =
        register(channel, number, handler, loop.now(), openConnections::remove);
    Loop.Timer timeout =
        loop.schedule(
            timeoutMicros,
            () -> connection.fail(new IOException("no connection to " + address + " in time")));
    CompletionHandler<Void, Void> onConnected = whenConnected(connection, timeout);
    loop.outside(
        () -> { // on loopback the handshake is done within this call
          try {
            channel.connect(address, null, onConnected);
          } catch (RuntimeException e) {
            onConnected.failed(e, null);
          }
        });
  }

  private CompletionHandler<Void, Void> whenConnected(
      AsyncConnection connection, Loop.Timer timeout) {
    return new CompletionHandler<>() {
      @Override
      public void completed(Void nothing, Void attachment) {
        loop.executeHere(
            () -> {
              timeout.cancel();
              connection.up();
            });
      }

      @Override
      public void failed(Throwable cause, Void attachment) {
        loop.executeHere(
            () -> {
              timeout.cancel();
              connection.fail(ChannelSupport.toIoException(cause));
            });
      }
    };
  }

  private AsyncConnection register(
      AsynchronousSocketChannel channel,
      int shard,
      Connection.Handler handler,
      long openedMicros,
      Consumer<AsyncConnection> onClosed) {
    AsyncConnection connection =
        new AsyncConnection(
            loop, channel, shard, handler, arrivalClocks[shard], openedMicros, onClosed);
    openConnections.add(connection);
    return connection;
  }

  ArrivalClock arrivalClock(int shard) {
    return arrivalClocks[shard];
  }

  /**
   * Takes over a connection that a port accepted. Loop thread only.
   *
   * @param openedMicros the earliest moment at which the client may have opened it
   */
  void accepted(
      AsynchronousSocketChannel channel,
      int shard,
      Connection.Handler handler,
      long openedMicros,
      Runnable onClosed) {
    AsyncConnection connection =
        register(
            channel,
            shard,
            handler,
            openedMicros,
            closed -> {
              openConnections.remove(closed);
              onClosed.run();
            });
    connection.up();
  }

  /** A port listens no more. Any thread. */
  void forget(ListeningPort port) {
    loop.execute(() -> ports.remove(port));
  }

  @Override
  public List<DelayProbe> delayProbes() throws IOException {
    List<DelayProbe> all = new ArrayList<>();
    for (AsynchronousChannelGroup shard : shards) {
      ShardDelayProbe probe = new ShardDelayProbe(loop, shard);
      probes.add(probe);
      all.add(probe);
    }
    return all;
  }

  /**
   * Breaks every connection and stops listening, as the death of the process would. Loop thread
   * only.
   */
  public void abortAll() {
    List.copyOf(ports).forEach(ListeningPort::close);
    List.copyOf(openConnections).forEach(AsyncConnection::abort);
  }

  /** Ends the threads; connections still open break. */
  @Override
  public void close() throws IOException {
    probes.forEach(ShardDelayProbe::close);
    for (ArrivalClock clock : arrivalClocks) {
      clock.close();
    }
    for (AsynchronousChannelGroup shard : shards) {
      shard.shutdownNow();
    }
  }
}
