package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

/** Makes connections and accepts them. Loop thread only, unless a method says otherwise. */
public interface Network {
  /**
   * Listens on an address and accepts connections, each with a handler of its own. Any thread.
   *
   * @param maxConnections connections open at a time over this listener; further ones are closed as
   *     they come
   * @throws IOException if the address cannot be taken
   */
  Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException;

  /**
   * Connects, then calls the handler; a failure or timeout is its {@code closed} without a {@code
   * connected}.
   *
   * @param timeoutMicros microseconds after which the attempt fails
   */
  void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler);

  /**
   * The same, in the shard of that number where the network has shards; see {@link
   * Connection#shard}.
   */
  default void connect(
      InetSocketAddress address, long timeoutMicros, int shard, Connection.Handler handler) {
    connect(address, timeoutMicros, handler);
  }

  /**
   * Probes of how long input waits for its I/O thread, one for each thread; empty where nothing
   * waits. Opens sockets, so call it once, off the loop.
   */
  default List<DelayProbe> delayProbes() throws IOException {
    return List.of();
  }

  /** A port that is listened on. */
  interface Listener {
    /** The address bound; tells the port where 0 was asked for. */
    InetSocketAddress address();

    /** Stops accepting; open connections stay. Any thread. */
    void close();
  }
}
