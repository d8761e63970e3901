package lemondock.exporter.collectd;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import lemondock.exporter.HostResolver;
import lemondock.net.DatagramSender;

/**
 * Opens datagram sockets to one collector. The host is resolved each time, since the collector's
 * address may have changed. Loop thread only.
 */
public final class DatagramConnector {
  private final HostResolver resolver;
  private final DatagramSender.Opener opener;
  private final InetSocketAddress address;

  /**
   * Creates a connector.
   *
   * @param address host and port, may be unresolved
   */
  public DatagramConnector(
      HostResolver resolver, DatagramSender.Opener opener, InetSocketAddress address) {
    this.resolver = resolver;
    this.opener = opener;
    this.address = address;
  }

  /** Opens a socket. Calls at most one of the callbacks, once, on the loop. */
  void open(Consumer<DatagramSender> onOpened, Consumer<IOException> onFailed) {
    resolver.resolve(
        address.getHostString(),
        address.getPort(),
        resolved -> openTo(resolved, onOpened, onFailed),
        onFailed);
  }

  private void openTo(
      InetSocketAddress resolved,
      Consumer<DatagramSender> onOpened,
      Consumer<IOException> onFailed) {
    DatagramSender sender;
    try {
      sender = opener.open(resolved);
    } catch (IOException e) {
      onFailed.accept(e);
      return;
    }
    onOpened.accept(sender);
  }
}
