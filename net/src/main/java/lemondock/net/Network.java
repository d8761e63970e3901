package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

/** Where connections come from. */
public interface Network {
  /**
   * Accepts connections, each with a handler of its own.
   *
   * @param most connections open at a time over this listener; further ones are closed as they come
   * @throws IOException if the address cannot be taken
   */
  Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers)
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
      InetSocketAddress address, long timeoutMicros, int near, Connection.Handler handler) {
    connect(address, timeoutMicros, handler);
  }

  /**
   * Ways to learn how long what comes to a socket waits for its thread, one for each; empty where
   * nothing waits. Opens sockets, so call it off the loop, once.
   */
  default List<Probe> probes() throws IOException {
    return List.of();
  }

  /** Tells how late a thread is. */
  interface Probe {
    /**
     * Has the thread come to something new, unless the last such thing still waits. Loop thread
     * only.
     *
     * @param waited hears, on the loop, how many microseconds that took
     * @return for how many microseconds the last one has been waiting, 0 if it does not any more
     */
    long ask(LongConsumer waited);
  }

  /** An open port. */
  interface Listener {
    /** The address taken; tells the port where 0 was asked for. */
    InetSocketAddress address();

    /** Stops accepting; open connections stay. */
    void close();
  }
}
