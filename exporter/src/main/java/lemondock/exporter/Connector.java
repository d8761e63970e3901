package lemondock.exporter;

import lemondock.net.Connection;

/** Makes connections to one collector. Loop thread only. */
public interface Connector {
  /**
   * Connects. The handler is called with {@code connected} or, if there is no connection in time,
   * with {@code closed}.
   */
  void connect(Connection.Handler handler);
}
