package lemondock.dispatch;

import java.util.List;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerEntry;

/**
 * What the router is told of an endpoint list.
 *
 * @param kind whether the servers are a full list, a cached one, or only the changes
 * @param servers the servers that the router has to hear of
 * @param skipped why entries of the list could not be used, one line each
 */
public record EndpointUpdate(
    EndpointListKind kind, List<ServerEntry> servers, List<String> skipped) {}
