package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.Network;

/**
 * Connects to a collector over TCP. The host is resolved for each connection, since the collector's
 * address may have changed. Loop thread only.
 */
public final class TcpConnector implements Connector {
  private final Loop loop;
  private final Network network;
  private final HostResolver resolver;
  private final InetSocketAddress address;
  private final long timeoutMicros;

  /**
   * Creates a connector.
   *
   * @param address host and port, may be unresolved
   * @param timeoutMicros limit on the resolution of the host, and again on the connection attempt,
   *     in microseconds
   */
  public TcpConnector(
      Loop loop,
      Network network,
      HostResolver resolver,
      InetSocketAddress address,
      long timeoutMicros) {
    this.loop = loop;
    this.network = network;
    this.resolver = resolver;
    this.address = address;
    this.timeoutMicros = timeoutMicros;
  }

  @Override
  public void connect(Connection.Handler handler) {
    new Attempt(handler).start();
  }

  /** One resolution and connection attempt; a result after the resolution timeout is ignored. */
  private final class Attempt {
    private final Connection.Handler handler;
    private Loop.Timer resolutionTimeout = () -> {};
    private boolean isResolutionOver;

    Attempt(Connection.Handler handler) {
      this.handler = handler;
    }

    void start() {
      resolutionTimeout = loop.schedule(timeoutMicros, this::onResolutionTimeout);
      resolver.resolve(
          address.getHostString(), address.getPort(), this::onResolved, this::onResolutionFailed);
    }

    private void onResolved(InetSocketAddress resolved) {
      if (endResolution()) {
        network.connect(resolved, timeoutMicros, handler);
      }
    }

    private void onResolutionFailed(IOException cause) {
      if (endResolution()) {
        handler.closed(cause);
      }
    }

    private void onResolutionTimeout() {
      if (endResolution()) {
        handler.closed(
            new IOException(
                "host "
                    + address.getHostString()
                    + " was not resolved within "
                    + timeoutMicros
                    + " us"));
      }
    }

    /** Ends the resolution; returns false if it had already ended. */
    private boolean endResolution() {
      resolutionTimeout.cancel();
      boolean wasInProgress = !isResolutionOver;
      isResolutionOver = true;
      return wasInProgress;
    }
  }
}
