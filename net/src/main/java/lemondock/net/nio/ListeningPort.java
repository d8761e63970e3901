package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.AsynchronousServerSocketChannel;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Network;

/**
 * A port that an {@link AsyncNetwork} listens on, with one or more listening sockets. It continues
 * to accept after a failure such as a lack of file descriptors.
 */
final class ListeningPort implements Network.Listener {
  static final int BACKLOG = 1024;

  /**
   * Delay after a failure to accept. It is short because the deadlines of the clients that wait to
   * be accepted are already running.
   */
  private static final long ACCEPT_RETRY_DELAY_MICROS = 10_000;

  /**
   * How long a client that arrives at the maximum number of connections waits for one to be closed;
   * meanwhile no other client is accepted from the same socket.
   */
  private static final long MAX_WAIT_MICROS = 100_000;

  private final AsyncNetwork network;
  private final ThreadLoop loop;
  private final int maxConnections;
  private final Supplier<Connection.Handler> handlers;

  /** Filled by {@link #bind} and not changed afterwards; any thread. */
  private final List<AsynchronousServerSocketChannel> acceptors = new ArrayList<>();

  /** Set by {@link #bind} and not changed afterwards; any thread. */
  private InetSocketAddress address;

  private int shardCount;

  /** For each socket its clock, which is used only by the I/O thread of the socket's shard. */
  private BacklogClock[] backlogClocks;

  // All fields below: loop thread only.
  private int connectionCount;

  /** Clients that were accepted at the maximum number of connections, at most one per socket. */
  private final ArrayDeque<WaitingClient> waitingClients = new ArrayDeque<>();

  /** An accepted client that waits for a connection to be closed. */
  private record WaitingClient(
      AsynchronousSocketChannel channel, int acceptorIndex, long earliestOpenMicros) {}

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
   * @param count number of listening sockets
   * @param reusePort whether several sockets may bind the port (SO_REUSEPORT)
   * @throws IOException if the address cannot be bound; no socket stays open then
   */
  void bind(InetSocketAddress requestedAddress, Shard[] shards, int count, boolean reusePort)
      throws IOException {
    shardCount = shards.length;
    backlogClocks = new BacklogClock[count];
    try {
      for (int i = 0; i < count; i++) {
        backlogClocks[i] = new BacklogClock(shards[i % shardCount].arrivalClock(), loop.now());
        AsynchronousServerSocketChannel acceptor =
            AsynchronousServerSocketChannel.open(shards[i % shardCount].group());
        acceptors.add(acceptor);
        acceptor.setOption(StandardSocketOptions.SO_REUSEADDR, true);
        if (reusePort) {
          acceptor.setOption(StandardSocketOptions.SO_REUSEPORT, true);
        }
        acceptor.bind(requestedAddress, BACKLOG);
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
    network.removePort(this);
  }

  /** Starts to accept on all sockets. Loop thread only. */
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
    long beforeMicros = loop.now();
    AtomicLong startedMicros = new AtomicLong(ArrivalClock.NOT_STARTED);
    CompletionHandler<AsynchronousSocketChannel, Void> acceptHandler =
        new CompletionHandler<>() {
          @Override
          public void completed(AsynchronousSocketChannel accepted, Void attachment) {
            long earliestOpenMicros =
                backlogClocks[index].clientAccepted(beforeMicros, startedMicros.get());
            loop.executeInline(() -> onAccepted(accepted, acceptor, index, earliestOpenMicros));
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeInline(() -> retryAcceptLater(acceptor, index, cause));
          }
        };
    try {
      acceptor.accept(null, acceptHandler);
      startedMicros.set(loop.now()); // by now the accept has been started in the kernel
    } catch (ShutdownChannelGroupException e) {
      ChannelSupport.closeQuietly(acceptor); // the network is being closed
    }
  }

  private void onAccepted(
      AsynchronousSocketChannel accepted,
      AsynchronousServerSocketChannel acceptor,
      int index,
      long earliestOpenMicros) {
    if (!acceptor.isOpen()) {
      ChannelSupport.closeQuietly(accepted);
    } else if (connectionCount >= maxConnections) {
      WaitingClient client = new WaitingClient(accepted, index, earliestOpenMicros);
      waitingClients.add(client);
      loop.schedule(MAX_WAIT_MICROS, () -> refuse(client));
    } else {
      addConnection(accepted, index % shardCount, earliestOpenMicros);
      accept(index);
    }
  }

  /** Closes a client's connection if it still waits. */
  private void refuse(WaitingClient client) {
    if (waitingClients.remove(client)) {
      network.listener().connectionRefused(remoteAddress(client.channel()));
      ChannelSupport.closeQuietly(client.channel());
      accept(client.acceptorIndex());
    }
  }

  private void connectionClosed() {
    connectionCount--;
    WaitingClient client = waitingClients.poll();
    if (client != null) {
      addConnection(
          client.channel(), client.acceptorIndex() % shardCount, client.earliestOpenMicros());
      accept(client.acceptorIndex());
    }
  }

  private void retryAcceptLater(
      AsynchronousServerSocketChannel acceptor, int index, Throwable cause) {
    if (acceptor.isOpen()) {
      network.listener().acceptFailed(cause);
      loop.schedule(ACCEPT_RETRY_DELAY_MICROS, () -> accept(index));
    }
  }

  private void addConnection(
      AsynchronousSocketChannel accepted, int shard, long earliestOpenMicros) {
    network.disableSendDelay(accepted, remoteAddress(accepted));
    connectionCount++;
    network.addAccepted(
        accepted, shard, handlers.get(), earliestOpenMicros, this::connectionClosed);
  }

  /** The address of a client; null if it is unknown. */
  private static InetSocketAddress remoteAddress(AsynchronousSocketChannel accepted) {
    try {
      return (InetSocketAddress) accepted.getRemoteAddress();
    } catch (IOException e) {
      return null;
    }
  }
}
