package lemondock.dispatch;

import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;

/** Creates the router that makes decisions for a dispatcher; tests substitute a faulty one. */
@FunctionalInterface
public interface RouterFactory {
  /**
   * Creates a router that acts through the host.
   *
   * @param seed the seed of its random number generator
   * @throws RuntimeException if it cannot use the settings
   */
  RequestRouter create(RouterSettings settings, long seed, RouterHost host);
}
