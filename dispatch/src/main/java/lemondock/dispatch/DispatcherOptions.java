package lemondock.dispatch;

import lemondock.policy.RouterSettings;

/**
 * Configuration of a dispatcher.
 *
 * @param attemptIdPrefix prefix of the attempt ids that are sent to engines, unique to this process
 * @param routerFactory creates the router that makes the decisions
 * @param routerSettings the settings of that router
 * @param routerSeed the seed of the router's random number generator
 * @param startEndpointWatch called when the router requests the endpoint list and its changes
 */
public record DispatcherOptions(
    String attemptIdPrefix,
    RouterFactory routerFactory,
    RouterSettings routerSettings,
    long routerSeed,
    Runnable startEndpointWatch) {}
