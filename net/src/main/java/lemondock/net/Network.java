package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Supplier;

/** Where connections come from. */
public interface Network {
  /**
   * Accepts connections, each with a handler of its own.
   *
   * @param maxConnections connections open at a time over this listener; further ones are closed as
   *     they come
   * @throws IOException if the address cannot be taken
   */
  Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers)
      throws IOException;

  /**
   * Connects, then calls the handler; a failure or time-out is its {@code closed} without a {@code
   * connected}.
   *
   * @param timeoutMicros microseconds until an attempt counts as failed
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
   * Ways to learn how long what comes to a socket waits for its thread, one for each; empty where
   * nothing waits. Opens sockets, so call it off the loop, once.
   */
  default List<DelayProbe> delayProbes() throws IOException {
    return List.of();
  }

  /** An open port. */
  interface Listener {
    /** The address taken; tells the port where 0 was asked for. */
    InetSocketAddress address();

    /** Stops accepting; open connections stay. */
    void close();
  }
}
