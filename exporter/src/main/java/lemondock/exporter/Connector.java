package lemondock.exporter;

import lemondock.net.Connection;

/** Opens connections to one collector. Loop thread only. */
public interface Connector {
  /**
   * Opens a connection. Calls {@code connected} of the handler, or {@code closed} if no connection
   * is established within the connector's timeout.
   */
  void connect(Connection.Handler handler);
}
