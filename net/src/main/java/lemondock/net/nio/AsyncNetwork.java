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
 * <p>State: a socket's queue of writes is under its own lock, all else is the loop's context's.
 * System calls are made outside the context.
 */
public final class AsyncNetwork implements Network, AutoCloseable {
  private static final int BACKLOG = 1024;

  /**
   * Sockets that each shard accepts by: the JDK takes one connection from each a round through all
   * that is ready, and with many ready a round is long.
   */
  private static final int ACCEPTORS = 8;

  /**
   * After a failure to accept. What waits to be accepted has its deadline already, so it is short.
   */
  private static final long ACCEPT_PAUSE = 10_000;

  private final ThreadLoop loop;
  private final AsynchronousChannelGroup[] groups;
  private final int acceptors;
  private int nextGroup;
  private final Set<AsyncConnection> open = new HashSet<>();
  private final Set<Port> ports = new HashSet<>();
  private final List<ShardDelayProbe> probes = new CopyOnWriteArrayList<>();

  /** Makes a network whose callbacks come in the given loop's context, with so many I/O threads. */
  public AsyncNetwork(ThreadLoop loop, int threads) throws IOException {
    this(loop, threads, ACCEPTORS);
  }

  /**
   * The same with so many listening sockets a port and I/O thread. One thread with one needs no
   * shared port: some hosts allow only one socket at an address, and a gateway that few connections
   * come to gains nothing by more.
   */
  public AsyncNetwork(ThreadLoop loop, int threads, int acceptors) throws IOException {
    this.loop = loop;
    this.acceptors = acceptors;
    this.groups = new AsynchronousChannelGroup[threads];
    for (int i = 0; i < threads; i++) {
      int shard = i;
      groups[i] =
          AsynchronousChannelGroup.withFixedThreadPool(1, task -> new IoThread(task, shard));
    }
  }

  /**
   * Listens in all shards on one port; the system spreads the connections. Ports shared so may be
   * shared by other processes of the same user too, so the port is first taken alone: that fails if
   * anybody has it.
   */
  @Override
  public Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers)
      throws IOException {
    InetSocketAddress taken = groups.length * acceptors > 1 ? probed(address) : null;
    Port port = new Port(most, handlers);
    try {
      for (int i = 0; i < (taken == null ? 1 : groups.length * acceptors); i++) {
        AsynchronousServerSocketChannel channel =
            AsynchronousServerSocketChannel.open(groups[i % groups.length]);
        port.channels.add(channel);
        channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (taken != null) {
          channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        channel.bind(taken == null ? address : taken, BACKLOG);
        port.address = (InetSocketAddress) channel.getLocalAddress();
      }
    } catch (IOException e) {
      port.channels.forEach(ChannelSupport::closeQuietly);
      throw e;
    }
    loop.execute(
        () -> {
          ports.add(port);
          for (int i = 0; i < port.channels.size(); i++) {
            port.accept(i);
          }
        });
    return port;
  }

  /** The address, taken alone for a moment; null where ports cannot be shared. */
  private InetSocketAddress probed(InetSocketAddress address) throws IOException {
    try (AsynchronousServerSocketChannel alone = AsynchronousServerSocketChannel.open(groups[0])) {
      alone.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      alone.bind(address, BACKLOG);
      return alone.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)
          ? (InetSocketAddress) alone.getLocalAddress()
          : null;
    }
  }

  @Override
  public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
    int shard =
        Thread.currentThread() instanceof IoThread io && io.shard() < groups.length
            ? io.shard()
            : nextGroup++ % groups.length;
    connect(address, timeoutMicros, shard, handler);
  }

  @Override
  public void connect(
      InetSocketAddress address, long timeoutMicros, int near, Connection.Handler handler) {
    int shard = Math.floorMod(near, groups.length);
    AsynchronousSocketChannel channel;
    try {
      channel = AsynchronousSocketChannel.open(groups[shard]);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException | ShutdownChannelGroupException e) {
      loop.execute(
          () ->
              handler.closed(
                  new LocalResourcesExhaustedException(
                      "no socket can be opened: " + e.getMessage(), e)));
      return;
    }
    AsyncConnection socket = new AsyncConnection(loop, channel, shard, handler, open::remove);
    open.add(socket);
    Loop.Timer limit =
        loop.schedule(
            timeoutMicros,
            () -> socket.fail(new IOException("no connection to " + address + " in time")));
    CompletionHandler<Void, Void> handled =
        new CompletionHandler<>() {
          @Override
          public void completed(Void nothing, Void attachment) {
            loop.executeHere(
                () -> {
                  limit.cancel();
                  socket.up();
                });
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeHere(
                () -> {
                  limit.cancel();
                  socket.fail(ChannelSupport.asIo(cause));
                });
          }
        };
    loop.outside(
        () -> { // on loopback the handshake is done within this call
          try {
            channel.connect(address, null, handled);
          } catch (RuntimeException e) {
            handled.failed(e, null);
          }
        });
  }

  @Override
  public List<DelayProbe> delayProbes() throws IOException {
    List<DelayProbe> all = new ArrayList<>();
    for (AsynchronousChannelGroup group : groups) {
      ShardDelayProbe probe = new ShardDelayProbe(loop, group);
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
    List.copyOf(ports).forEach(Port::close);
    List.copyOf(open).forEach(AsyncConnection::abort);
  }

  /** Ends the threads; connections still open break. */
  @Override
  public void close() throws IOException {
    probes.forEach(ShardDelayProbe::close);
    for (AsynchronousChannelGroup group : groups) {
      group.shutdownNow();
    }
  }

  /** A listening port; goes on accepting after a failure such as a lack of file handles. */
  private final class Port implements Listener {
    private final List<AsynchronousServerSocketChannel> channels = new ArrayList<>();
    private final int most;
    private final Supplier<Connection.Handler> handlers;
    private InetSocketAddress address;
    private int connections;

    Port(int most, Supplier<Connection.Handler> handlers) {
      this.most = most;
      this.handlers = handlers;
    }

    @Override
    public InetSocketAddress address() {
      return address;
    }

    @Override
    public void close() {
      channels.forEach(ChannelSupport::closeQuietly);
      loop.execute(() -> ports.remove(this));
    }

    void accept(int number) {
      AsynchronousServerSocketChannel channel = channels.get(number);
      if (!channel.isOpen()) {
        return;
      }
      CompletionHandler<AsynchronousSocketChannel, Void> handled =
          new CompletionHandler<>() {
            @Override
            public void completed(AsynchronousSocketChannel accepted, Void attachment) {
              loop.executeHere(
                  () -> {
                    if (connections >= most || !channel.isOpen()) {
                      ChannelSupport.closeQuietly(accepted);
                    } else {
                      take(accepted, number % groups.length);
                    }
                    accept(number);
                  });
            }

            @Override
            public void failed(Throwable cause, Void attachment) {
              loop.executeHere(
                  () -> {
                    if (channel.isOpen()) {
                      loop.schedule(ACCEPT_PAUSE, () -> accept(number));
                    }
                  });
            }
          };
      try {
        channel.accept(null, handled);
      } catch (ShutdownChannelGroupException e) {
        ChannelSupport.closeQuietly(channel); // the network is being closed
      }
    }

    private void take(AsynchronousSocketChannel accepted, int shard) {
      try {
        accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
      } catch (IOException e) {
        ChannelSupport.closeQuietly(accepted);
        return;
      }
      connections++;
      AsyncConnection socket =
          new AsyncConnection(
              loop,
              accepted,
              shard,
              handlers.get(),
              closed -> {
                open.remove(closed);
                connections--;
              });
      open.add(socket);
      socket.up();
    }
  }
}
