package lemondock.dispatch;

import lemondock.policy.RouterSettings;

/**
 * What a dispatcher is configured with.
 *
 * @param attemptIdPrefix what the ids that engines see begin with, unique to this process
 * @param routerFactory creates the router that decides
 * @param routerSettings the settings of that router
 * @param routerSeed the seed of its random draws
 * @param startEndpointWatch run when the router asks for the endpoint list and its changes
 */
public record DispatcherOptions(
    String attemptIdPrefix,
    RouterFactory routerFactory,
    RouterSettings routerSettings,
    long routerSeed,
    Runnable startEndpointWatch) {}
