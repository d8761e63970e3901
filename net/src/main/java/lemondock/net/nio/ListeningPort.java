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
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Network;

/**
 * A port that an {@link AsyncNetwork} listens on, with one or more listening sockets. It goes on
 * accepting after a failure such as a lack of file handles.
 */
final class ListeningPort implements Network.Listener {
  static final int BACKLOG = 1024;

  /**
   * Pause after a failure to accept. What waits to be accepted has its deadline already, so it is
   * short.
   */
  private static final long RETRY_PAUSE_MICROS = 10_000;

  private final AsyncNetwork network;
  private final ThreadLoop loop;
  private final int maxConnections;
  private final Supplier<Connection.Handler> handlers;

  /** Filled by {@link #bind}, then not changed; any thread. */
  private final List<AsynchronousServerSocketChannel> acceptors = new ArrayList<>();

  /** Set by {@link #bind}, then not changed; any thread. */
  private InetSocketAddress address;

  private int shards;

  /**
   * For each socket a moment at which all clients that had come were accepted. Each place belongs
   * to the I/O thread of its socket's shard.
   */
  private long[] emptyMicros;

  /** Loop thread only. */
  private int connections;

  ListeningPort(
      AsyncNetwork network,
      ThreadLoop loop,
      int maxConnections,
      Supplier<Connection.Handler> handlers) {
    this.network = network;
    this.loop = loop;
    this.maxConnections = maxConnections;
    this.handlers = handlers;
  }

  /**
   * Opens the listening sockets, spread over the shards.
   *
   * @param count how many
   * @param shared whether the port may be taken by several sockets
   * @throws IOException if the address cannot be taken; then no socket stays open
   */
  void bind(InetSocketAddress wanted, AsynchronousChannelGroup[] groups, int count, boolean shared)
      throws IOException {
    shards = groups.length;
    emptyMicros = new long[count];
    Arrays.fill(emptyMicros, loop.now());
    try {
      for (int i = 0; i < count; i++) {
        AsynchronousServerSocketChannel acceptor =
            AsynchronousServerSocketChannel.open(groups[i % shards]);
        acceptors.add(acceptor);
        acceptor.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (shared) {
          acceptor.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        acceptor.bind(wanted, BACKLOG);
        address = (InetSocketAddress) acceptor.getLocalAddress();
      }
    } catch (IOException e) {
      acceptors.forEach(ChannelSupport::closeQuietly);
      throw e;
    }
  }

  @Override
  public InetSocketAddress address() {
    return address;
  }

  @Override
  public void close() {
    acceptors.forEach(ChannelSupport::closeQuietly);
    network.forget(this);
  }

  /** Begins to accept on all sockets. Loop thread only. */
  void acceptAll() {
    for (int i = 0; i < acceptors.size(); i++) {
      accept(i);
    }
  }

  private void accept(int index) {
    AsynchronousServerSocketChannel acceptor = acceptors.get(index);
    if (!acceptor.isOpen()) {
      return;
    }
    AtomicLong startedMicros = new AtomicLong(ArrivalClock.NOT_STARTED);
    CompletionHandler<AsynchronousSocketChannel, Void> onAccepted =
        new CompletionHandler<>() {
          @Override
          public void completed(AsynchronousSocketChannel accepted, Void attachment) {
            // clients are accepted in the order in which they came
            emptyMicros[index] =
                network
                    .arrivalClock(index % shards)
                    .earliestArrivalMicros(startedMicros.get(), emptyMicros[index]);
            long openedMicros = emptyMicros[index];
            loop.executeHere(() -> accepted(accepted, acceptor, index, openedMicros));
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeHere(() -> acceptLater(acceptor, index));
          }
        };
    try {
      acceptor.accept(null, onAccepted);
      startedMicros.set(loop.now()); // a moment at which the kernel was asked already
    } catch (ShutdownChannelGroupException e) {
      ChannelSupport.closeQuietly(acceptor); // the network is being closed
    }
  }

  private void accepted(
      AsynchronousSocketChannel accepted,
      AsynchronousServerSocketChannel acceptor,
      int index,
      long openedMicros) {
    if (connections >= maxConnections || !acceptor.isOpen()) {
      ChannelSupport.closeQuietly(accepted);
    } else {
      take(accepted, index % shards, openedMicros);
    }
    accept(index);
  }

  private void acceptLater(AsynchronousServerSocketChannel acceptor, int index) {
    if (acceptor.isOpen()) {
      loop.schedule(RETRY_PAUSE_MICROS, () -> accept(index));
    }
  }

  private void take(AsynchronousSocketChannel accepted, int shard, long openedMicros) {
    try {
      accepted.setOption(StandardSocketOptions.TCP_NODELAY, true);
    } catch (IOException e) {
      ChannelSupport.closeQuietly(accepted);
      return;
    }
    connections++;
    network.accepted(accepted, shard, handlers.get(), openedMicros, () -> connections--);
  }
}
