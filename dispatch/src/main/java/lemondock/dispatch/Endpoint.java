package lemondock.dispatch;

import java.net.InetSocketAddress;
import lemondock.policy.ServerLifecycle;

/**
 * A server as an endpoint list states it; the router knows servers, zones and kinds by numbers.
 *
 * @param kind name of the server's kind in the settings
 * @param weight share of the load relative to other servers
 * @param startedAtMillis start of the server's process in milliseconds since the epoch, 0 if long
 *     ago or not listed
 */
public record Endpoint(
    String name,
    InetSocketAddress address,
    String kind,
    String zone,
    String rack,
    ServerLifecycle lifecycle,
    double weight,
    long startedAtMillis) {}
