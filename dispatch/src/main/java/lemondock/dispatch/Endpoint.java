package lemondock.dispatch;

import java.net.InetSocketAddress;
import lemondock.policy.ServerLifecycle;

/**
 * One server as a list states it, with names where the module has numbers.
 *
 * @param startedAt milliseconds since the epoch of its process's start, 0 if long ago or not told
 */
public record Endpoint(
    String name,
    InetSocketAddress address,
    String kind,
    String zone,
    String rack,
    ServerLifecycle standing,
    double weight,
    long startedAt) {}
