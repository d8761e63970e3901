package lemondock.dispatch;

import java.util.List;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerEntry;

/**
 * The update that the router receives for an endpoint list.
 *
 * @param kind whether the servers are a full list, a cached one, or only the changes
 * @param servers the servers to report to the router
 * @param skipped the reasons why entries of the list could not be used, one line per entry
 */
public record EndpointUpdate(
    EndpointListKind kind, List<ServerEntry> servers, List<String> skipped) {}
