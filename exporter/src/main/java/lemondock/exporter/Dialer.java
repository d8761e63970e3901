package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;

/** Makes connections to one collector. */
public interface Dialer {
  /**
   * Connects; the handler hears {@code connected} or, if there is no connection in time, {@code
   * closed}.
   */
  void dial(Connection.Handler handler);

  /** Looks names up, off the loop; calls back on the loop, once, or never. */
  interface Resolver {
    /** Finds the address of a host: calls {@code found}, or {@code failed} with the reason. */
    void resolve(String host, int port, Consumer<InetSocketAddress> found, Consumer<String> failed);
  }

  /**
   * Over TCP; the name is looked up anew each time, since a collector may have moved. Times in
   * microseconds.
   */
  static Dialer tcp(
      Loop loop, Network network, Resolver resolver, String host, int port, long timeout) {
    return handler -> {
      boolean[] settled = {false};
      Loop.Timer limit =
          loop.schedule(
              timeout,
              () -> {
                if (!settled[0]) {
                  settled[0] = true;
                  handler.closed(new IOException("the name " + host + " was not found in time"));
                }
              });
      resolver.resolve(
          host,
          port,
          address -> {
            limit.cancel();
            if (!settled[0]) {
              settled[0] = true;
              network.connect(address, timeout, handler);
            }
          },
          why -> {
            limit.cancel();
            if (!settled[0]) {
              settled[0] = true;
              handler.closed(new IOException(why));
            }
          });
    };
  }
}
