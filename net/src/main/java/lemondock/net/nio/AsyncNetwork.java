package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;
import lemondock.net.ByteBudget;
import lemondock.net.Connection;
import lemondock.net.DelayProbe;
import lemondock.net.LocalResourcesExhaustedException;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.NetworkListener;

/**
 * Connections on the JDK's asynchronous socket channels. Each I/O thread has its own channel group
 * (a shard): with several threads in one group, the JDK passes each event from the polling thread
 * to another one, which costs a wake-up per token. The thread that reads bytes decodes them, runs
 * their handlers in the loop's context if it is free, and writes the results.
 *
 * <p>Each socket's write queue is guarded by its own lock; other state belongs to the loop unless
 * its comment says otherwise. Connects, reads and writes are started outside the loop's context.
 */
public final class AsyncNetwork implements Network, AutoCloseable {
  /**
   * Listening sockets per shard. The JDK accepts one connection from each in every pass over the
   * ready sockets, and a pass takes long when many are ready.
   */
  private static final int ACCEPTORS_PER_SHARD = 8;

  private static final int SET_OPTION_ATTEMPTS = 3;

  private final ThreadLoop loop;
  private final Shard[] shards;
  private final int acceptorsPerShard;

  // All fields below: loop thread only, except where stated.
  private int nextShard;
  private final Set<AsyncConnection> openConnections = new HashSet<>();
  private final Set<ListeningPort> ports = new HashSet<>();

  /** Any thread. */
  private final List<ShardDelayProbe> probes = new CopyOnWriteArrayList<>();

  private NetworkListener listener = NetworkListener.NONE;

  /**
   * Creates a network whose callbacks run on the given loop.
   *
   * @param threads number of I/O threads, each serving one shard
   * @throws IOException if the system lacks the resources for their selectors
   */
  public AsyncNetwork(ThreadLoop loop, int threads) throws IOException {
    this(loop, threads, ACCEPTORS_PER_SHARD);
  }

  /**
   * Creates a network with the given number of listening sockets per port and I/O thread. One
   * thread with one listening socket does not need to share the port. Some hosts allow only one
   * socket per address, and a gateway with few connections does not benefit from more.
   */
  public AsyncNetwork(ThreadLoop loop, int threads, int acceptorsPerShard) throws IOException {
    this(loop, threads, acceptorsPerShard, new ByteBudget(Long.MAX_VALUE));
  }

  /**
   * Creates a network whose connections together read ahead no more than a budget allows.
   *
   * @param readBufferBudget budget of the read buffers beyond the few kilobytes that each
   *     connection has for its own
   */
  public AsyncNetwork(
      ThreadLoop loop, int threads, int acceptorsPerShard, ByteBudget readBufferBudget)
      throws IOException {
    this.loop = loop;
    this.acceptorsPerShard = acceptorsPerShard;
    this.shards = new Shard[threads];
    for (int i = 0; i < threads; i++) {
      int number = i;
      shards[i] = Shard.start(loop, i, readBufferBudget, cause -> ioThreadEnded(number, cause));
    }
  }

  /** Sets who is told of failures that this network handles itself. Loop thread only. */
  public void setListener(NetworkListener newListener) {
    listener = newListener;
  }

  NetworkListener listener() {
    return listener;
  }

  /**
   * Called on an I/O thread that ends by an error. A lack of memory is reported as a failure, since
   * nothing is known about what else has failed with it.
   */
  private void ioThreadEnded(int shard, Throwable cause) {
    if (cause instanceof VirtualMachineError) {
      loop.reportFailure(cause);
    }
    loop.execute(() -> recoverLostCompletions(shard, cause));
  }

  /**
   * Handles the end of an I/O thread, which its channel group has replaced: the JDK throws an error
   * on that thread if it cannot register a socket again.
   */
  private void recoverLostCompletions(int shard, Throwable cause) {
    listener.ioThreadReplaced(cause);
    for (AsyncConnection connection : List.copyOf(openConnections)) {
      if (connection.shard() == shard) {
        connection.ioThreadReplaced();
      }
    }
  }

  /**
   * Listens in all shards on one port; the system distributes the connections. A port shared this
   * way could also be shared by other processes of the same user, so the port is first bound
   * exclusively, which fails if any process already has it. Any thread.
   */
  @Override
  public Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException {
    int acceptors = shards.length * acceptorsPerShard;
    InetSocketAddress sharedAddress = acceptors > 1 ? bindExclusively(address) : null;
    ListeningPort port = new ListeningPort(this, loop, maxConnections, handlers);
    if (sharedAddress == null) {
      port.bind(address, shards, 1, false);
    } else {
      port.bind(sharedAddress, shards, acceptors, true);
    }
    loop.execute(
        () -> {
          ports.add(port);
          port.acceptAll();
        });
    return port;
  }

  /** Binds the address exclusively for a moment and returns it; null if ports cannot be shared. */
  private InetSocketAddress bindExclusively(InetSocketAddress address) throws IOException {
    try (AsynchronousServerSocketChannel exclusiveSocket =
        AsynchronousServerSocketChannel.open(shards[0].group())) {
      exclusiveSocket.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      exclusiveSocket.bind(address, ListeningPort.BACKLOG);
      return exclusiveSocket.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)
          ? (InetSocketAddress) exclusiveSocket.getLocalAddress()
          : null;
    }
  }

  /**
   * Connects in the shard of the calling I/O thread; on any other thread, uses the shards in turn.
   */
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
    Shard connectionShard = shards[Math.floorMod(shard, shards.length)];
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(connectionShard.group());
    } catch (IOException | ShutdownChannelGroupException e) {
      IOException cause =
          new LocalResourcesExhaustedException(
              "cannot open a socket to connect to " + address + ": " + e.getMessage(), e);
      loop.execute(() -> handler.closed(cause));
      return;
    }
    disableSendDelay(channel, address);
    AsyncConnection connection =
        register(channel, connectionShard, handler, loop.now(), openConnections::remove);
    Loop.Timer timeout =
        loop.schedule(
            timeoutMicros,
            () ->
                connection.fail(
                    new IOException(
                        "connect to " + address + " timed out after " + timeoutMicros + " us")));
    CompletionHandler<Void, Void> onConnected = connectCompletionHandler(connection, timeout);
    loop.runAfterTurn(
        () -> { // on loopback the handshake completes within this call
          try {
            channel.connect(address, null, onConnected);
          } catch (RuntimeException e) {
            onConnected.failed(e, null);
          }
        });
  }

  private CompletionHandler<Void, Void> connectCompletionHandler(
      AsyncConnection connection, Loop.Timer timeout) {
    return new CompletionHandler<>() {
      @Override
      public void completed(Void result, Void attachment) {
        loop.executeInline(
            () -> {
              timeout.cancel();
              connection.channelConnected();
            });
      }

      @Override
      public void failed(Throwable cause, Void attachment) {
        loop.executeInline(
            () -> {
              timeout.cancel();
              connection.fail(ChannelSupport.toIoException(cause));
            });
      }
    };
  }

  /**
   * Has small writes sent at once (TCP_NODELAY). A connection without that option is slower, but
   * works.
   */
  void disableSendDelay(AsynchronousSocketChannel channel, InetSocketAddress peer) {
    for (int attempt = 1; attempt <= SET_OPTION_ATTEMPTS; attempt++) {
      try {
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        return;
      } catch (ClosedChannelException e) {
        return;
      } catch (IOException e) {
        if (attempt == SET_OPTION_ATTEMPTS) {
          listener.optionNotSet(peer, e);
        }
      }
    }
  }

  private AsyncConnection register(
      AsynchronousSocketChannel channel,
      Shard shard,
      Connection.Handler handler,
      long earliestOpenMicros,
      Consumer<AsyncConnection> onClosed) {
    AsyncConnection connection =
        new AsyncConnection(loop, channel, shard, handler, listener, earliestOpenMicros, onClosed);
    openConnections.add(connection);
    return connection;
  }

  /**
   * Adds a connection that a port accepted. Loop thread only.
   *
   * @param earliestOpenMicros the earliest time at which the client may have opened it
   */
  void addAccepted(
      AsynchronousSocketChannel channel,
      int shard,
      Connection.Handler handler,
      long earliestOpenMicros,
      Runnable onClosed) {
    AsyncConnection connection =
        register(
            channel,
            shards[shard],
            handler,
            earliestOpenMicros,
            closed -> {
              openConnections.remove(closed);
              onClosed.run();
            });
    connection.channelConnected();
  }

  /** Removes a port that no longer listens. Any thread. */
  void removePort(ListeningPort port) {
    loop.execute(() -> ports.remove(port));
  }

  @Override
  public List<DelayProbe> delayProbes() throws IOException {
    List<DelayProbe> created = new ArrayList<>();
    for (Shard shard : shards) {
      ShardDelayProbe probe = new ShardDelayProbe(loop, shard.group());
      probes.add(probe);
      created.add(probe);
    }
    return created;
  }

  /** Aborts every connection and stops listening, as if the process had died. Loop thread only. */
  public void abortAll() {
    List.copyOf(ports).forEach(ListeningPort::close);
    List.copyOf(openConnections).forEach(AsyncConnection::abort);
  }

  /** Stops the I/O threads; connections still open are broken. */
  @Override
  public void close() throws IOException {
    probes.forEach(ShardDelayProbe::close);
    for (Shard shard : shards) {
      shard.close();
    }
  }
}
