package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

/** Opens connections and accepts them. Loop thread only, unless a method says otherwise. */
public interface Network {
  /**
   * Listens on an address and accepts connections, each with its own handler. Any thread.
   *
   * @param maxConnections maximum number of open connections accepted by this listener; further
   *     ones wait a moment for one to be closed, and are closed if none is
   * @throws IOException if the address cannot be bound
   */
  Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException;

  /**
   * Connects, then calls the handler. A failure or timeout is reported by {@code closed} without a
   * preceding {@code connected}.
   *
   * @param timeoutMicros microseconds after which the attempt fails
   */
  void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler);

  /** Connects in the given shard, if the network has shards; see {@link Connection#shard}. */
  default void connect(
      InetSocketAddress address, long timeoutMicros, int shard, Connection.Handler handler) {
    connect(address, timeoutMicros, handler);
  }

  /**
   * Creates one probe for each I/O thread, which measures how long input waits for that thread;
   * empty if input never waits. Opens sockets, so call it once and not on the loop.
   */
  default List<DelayProbe> delayProbes() throws IOException {
    return List.of();
  }

  /** A listening port. */
  interface Listener {
    /** The bound address; has the actual port if port 0 was requested. */
    InetSocketAddress address();

    /** Stops accepting; open connections stay open. Any thread. */
    void close();
  }
}
