package lemondock.exporter;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/** Resolves host names off the loop. */
public interface HostResolver {
  /** Resolves a host. Calls at most one of the callbacks, once, on the loop; it may call none. */
  void resolve(
      String host,
      int port,
      Consumer<InetSocketAddress> onResolved,
      Consumer<IOException> onFailed);
}
