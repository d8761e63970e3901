package lemondock.net.testing;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import lemondock.net.Connection;
import lemondock.net.Network;
import lemondock.net.time.ManualLoop;

/**
 * A network whose connections a test controls. Each connect succeeds immediately unless a test
 * overrides {@link #connect}. Listening is not supported.
 *
 * @param <C> the test's connection type
 */
public class ScriptedNetwork<C extends ScriptedConnection> implements Network {
  private final ManualLoop loop;
  private final ConnectionFactory<C> factory;
  private final List<C> connections = new ArrayList<>();

  /** Creates the connections of a test. */
  public interface ConnectionFactory<C extends ScriptedConnection> {
    /** Creates a connection to a peer, owned by the handler. */
    C create(InetSocketAddress peer, Connection.Handler handler);
  }

  /** Creates a network without connections. */
  public ScriptedNetwork(ManualLoop loop, ConnectionFactory<C> factory) {
    this.loop = loop;
    this.factory = factory;
  }

  /** All connections opened so far, including closed ones, oldest first. */
  public final List<C> connections() {
    return connections;
  }

  @Override
  public Listener listen(
      InetSocketAddress address, int maxConnections, Supplier<Connection.Handler> handlers) {
    throw new UnsupportedOperationException();
  }

  @Override
  public void connect(InetSocketAddress address, long timeoutMicros, Connection.Handler handler) {
    C connection = factory.create(address, handler);
    connections.add(connection);
    loop.execute(() -> handler.connected(connection));
  }
}
