package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Resolves host names away from the loop. */
public interface HostResolver {
  /**
   * Resolves a host. At most one of the callbacks runs, once, on the loop; possibly none ever does.
   */
  void resolve(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed);
}
