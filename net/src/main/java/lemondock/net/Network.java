package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Where connections come from. */
public interface Network {
    /**
     * Accepts connections, each with a handler of its own.
     *
     * @param most connections open at a time over this listener; further ones are closed as they come
     * @throws IOException if the address cannot be taken
     */
    Listener listen(InetSocketAddress address, int most, Supplier<Connection.Handler> handlers) throws IOException;

    /**
     * Connects, then calls the handler; a failure or time-out is its {@code closed} without a {@code connected}.
     *
     * @param timeoutMicros microseconds until an attempt counts as failed
     */
    void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler);

    /** The same, in the shard of that number where the network has shards; see {@link Connection#shard}. */
    default void connect(InetSocketAddress address, long timeoutMicros, int near, Connection.Handler handler) {
        connect(address, timeoutMicros, handler);
    }

    /** An open port. */
    interface Listener {
        /** The address taken; tells the port where 0 was asked for. */
        InetSocketAddress address();

        /** Stops accepting; open connections stay. */
        void close();
    }
}
