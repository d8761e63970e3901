package lemondock.policy;

import java.util.List;

/**
 * Decides which share of the capacity a request may use. Near the capacity limit, classes of lower
 * priority and tenants over their quota are therefore rejected first.
 */
final class AdmissionQuota {
  /** Share that classes below the highest priority may use. */
  private static final double LOWER_PRIORITY_SHARE = 0.8;

  /** Share that a tenant over its quota may use. */
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

  /** Counts a request that has arrived; a client's retry does not count against its tenant. */
  void recordArrival(RoutingRequest request) {
    if (request.tenantId() < arrivalsByTenant.size() && !request.clientRetry()) {
      arrivalsByTenant.get(request.tenantId()).increment(clock.nowMicros());
    }
  }

  /** The share of the capacity, from 0 to 1, that the request may use. */
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
    double quotaPerSecond = settings.tenants().get(tenantId).quotaPerSecond();
    double arrivalsPerSecond = arrivalsByTenant.get(tenantId).ratePerSecond(clock.nowMicros());
    return quotaPerSecond > 0 && arrivalsPerSecond * settings.gatewayCount() > quotaPerSecond;
  }

  private boolean hasHigherPriorityClass(RequestClass requestClass) {
    return settings.classes().stream()
        .anyMatch(other -> other.priorityWeight() > requestClass.priorityWeight());
  }
}
