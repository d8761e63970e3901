package lemondock.gateway;

import java.util.List;
import java.util.Optional;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * Readiness check for a load balancer: whether the gateway can serve requests. Loop thread only.
 */
final class ReadinessCheck {
  private final EndpointRegistry endpoints;
  private final List<GatewaySettings.Kind> kinds;

  ReadinessCheck(EndpointRegistry endpoints, List<GatewaySettings.Kind> kinds) {
    this.endpoints = endpoints;
    this.kinds = kinds;
  }

  /**
   * Why no request can be served now; empty if at least one server that reads (prefills) and one
   * that writes (decodes) are ready.
   */
  Optional<String> problem() {
    if (endpoints.size() == 0) {
      return Optional.of("no list of servers is known, or it is empty");
    }
    if (!hasReadyServerOtherThan(ServerRole.WRITER)) {
      return Optional.of("no server that reads is ready");
    }
    if (!hasReadyServerOtherThan(ServerRole.READER)) {
      return Optional.of("no server that writes is ready");
    }
    return Optional.empty();
  }

  private boolean hasReadyServerOtherThan(ServerRole excludedRole) {
    for (Endpoint endpoint : endpoints.endpoints()) {
      if (endpoint.lifecycle() == ServerLifecycle.READY
          && !hasRole(endpoint.kind(), excludedRole)) {
        return true;
      }
    }
    return false;
  }

  private boolean hasRole(String kindName, ServerRole role) {
    for (GatewaySettings.Kind kind : kinds) {
      if (kind.name().equals(kindName)) {
        return kind.role() == role;
      }
    }
    return false;
  }
}
