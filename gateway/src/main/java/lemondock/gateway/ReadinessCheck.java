package lemondock.gateway;

import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.policy.ServerLifecycle;

/** Tells a load balancer whether the gateway can serve requests. Loop thread only. */
final class ReadinessCheck {
  private final EndpointRegistry endpoints;
  private final List<GatewaySettings.Kind> kinds;

  ReadinessCheck(EndpointRegistry endpoints, List<GatewaySettings.Kind> kinds) {
    this.endpoints = endpoints;
    this.kinds = kinds;
  }

  /** Why nothing can be served now; empty if a prompt can be read and an answer written. */
  String problem() {
    if (endpoints.size() == 0) {
      return "no list of servers is known, or it is empty";
    }
    if (!hasReadyServerOtherThan("writer")) {
      return "no server that reads is ready";
    }
    if (!hasReadyServerOtherThan("reader")) {
      return "no server that writes is ready";
    }
    return "";
  }

  private boolean hasReadyServerOtherThan(String excludedRole) {
    for (Endpoint endpoint : endpoints.endpoints()) {
      if (endpoint.lifecycle() == ServerLifecycle.READY
          && !role(endpoint.kind()).equals(excludedRole)) {
        return true;
      }
    }
    return false;
  }

  private String role(String kindName) {
    for (GatewaySettings.Kind kind : kinds) {
      if (kind.name().equals(kindName)) {
        return kind.role();
      }
    }
    return "";
  }
}
