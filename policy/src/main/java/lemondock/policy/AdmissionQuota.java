package lemondock.policy;

import java.util.List;

/**
 * The share of the capacity that is open to a request: under pressure, classes of lower priority
 * and tenants beyond their quota are rejected first.
 */
final class AdmissionQuota {
  /** Share open to classes of a lower priority than the highest. */
  private static final double LOWER_PRIORITY_SHARE = 0.8;

  /** Share open to a tenant beyond its quota. */
  private static final double OVER_QUOTA_SHARE = 0.6;

  private final RouterSettings settings;
  private final DecisionClock clock;
  private final List<DecayingCounter> arrivalsByTenant;

  AdmissionQuota(RouterSettings settings, DecisionClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.arrivalsByTenant =
        settings.tenants().stream().map(tenant -> new DecayingCounter()).toList();
  }

  /** A request has arrived; a client's retry does not count against its tenant. */
  void recordArrival(RoutingRequest request) {
    if (request.tenantId() < arrivalsByTenant.size() && !request.clientRetry()) {
      arrivalsByTenant.get(request.tenantId()).add(clock.nowMicros());
    }
  }

  double allowedShare(InFlightRequest request) {
    if (isOverQuota(request.attributes().tenantId())) {
      return OVER_QUOTA_SHARE;
    }
    return hasHigherPriorityClass(request.requestClass()) ? LOWER_PRIORITY_SHARE : 1;
  }

  private boolean isOverQuota(int tenantId) {
    if (tenantId >= arrivalsByTenant.size()) {
      return false;
    }
    double quota = settings.tenants().get(tenantId).quotaPerSecond();
    double own = arrivalsByTenant.get(tenantId).perSecond(clock.nowMicros());
    return quota > 0 && own * settings.gatewayCount() > quota;
  }

  private boolean hasHigherPriorityClass(RequestClass requestClass) {
    return settings.classes().stream()
        .anyMatch(other -> other.priorityWeight() > requestClass.priorityWeight());
  }
}
