package lemondock.dispatch;

import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterSettings;

/** Creates the router that decides for a dispatcher; tests substitute a faulty one. */
@FunctionalInterface
public interface RouterFactory {
  /**
   * Creates a router that acts through the host; {@code seed} is that of its random draws.
   *
   * @throws RuntimeException if it cannot use the settings
   */
  RequestRouter create(RouterSettings settings, long seed, RouterHost host);
}
