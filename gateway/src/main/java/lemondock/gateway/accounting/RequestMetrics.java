package lemondock.gateway.accounting;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;

/** The metrics of clients' calls, by class and tenant. Loop thread only. */
public final class RequestMetrics {
  /** The tenant label of a call that names no tenant. */
  static final String NO_TENANT = "none";

  private final GatewaySettings settings;
  private final MetricRegistry registry;
  private final Recorder recorder;
  private final BoundedLabels tenants;
  private final List<ClassSeries> classes = new ArrayList<>();

  RequestMetrics(
      GatewaySettings settings, MetricRegistry registry, Recorder recorder, BoundedLabels tenants) {
    this.settings = settings;
    this.registry = registry;
    this.recorder = recorder;
    this.tenants = tenants;
    settings
        .classes()
        .forEach(
            requestClass -> classes.add(new ClassSeries(registry, requestClass, settings.zone())));
  }

  /**
   * Counts an accepted call.
   *
   * @param tenant the tenant that the client names, if any
   * @param clientRetry whether the client marks the call as a retry
   * @param nowMicros time of its arrival
   */
  public CallMetrics requestAccepted(
      int classId, Optional<String> tenant, boolean clientRetry, int promptTokens, long nowMicros) {
    ClassSeries series = classes.get(classId);
    TenantSeries tenantSeries = tenantSeries(series, tenant);
    long ticket = recorder.beginUpdate();
    countArrival(series, tenantSeries, clientRetry);
    recorder.endUpdate(ticket);
    GatewaySettings.ClassSettings requestClass = settings.classes().get(classId);
    long latencyObjectiveMicros =
        GatewaySettings.micros(
            requestClass.aimMs() + requestClass.aimMsPerThousandTokens() * promptTokens / 1000);
    return new CallMetrics(recorder, series, tenantSeries, nowMicros, latencyObjectiveMicros);
  }

  /**
   * Counts a call that was rejected before it was accepted, because of overload or another limit or
   * because the gateway stops.
   */
  public void requestRejected(int classId, Optional<String> tenant, boolean clientRetry) {
    ClassSeries series = classes.get(classId);
    TenantSeries tenantSeries = tenantSeries(series, tenant);
    final long ticket = recorder.beginUpdate();
    countArrival(series, tenantSeries, clientRetry);
    recorder.add(tenantSeries.outcomeSlot(AnswerOutcome.Kind.REJECTED), 1);
    recorder.add(series.serviceLevelCounts.slot(ClassSeries.BAD), 1);
    recorder.endUpdate(ticket);
  }

  private void countArrival(ClassSeries series, TenantSeries tenantSeries, boolean clientRetry) {
    recorder.add(tenantSeries.acceptedSlot(), 1);
    recorder.add(tenantSeries.retriesSlot(), clientRetry ? 1 : 0);
    recorder.add(tenantSeries.weightRequestedSlot(clientRetry), series.priorityWeight);
  }

  private TenantSeries tenantSeries(ClassSeries series, Optional<String> tenant) {
    String label = tenants.labelFor(tenant.orElse(NO_TENANT));
    return series.byTenant.computeIfAbsent(
        label,
        newLabel ->
            new TenantSeries(
                registry.series(
                    MetricFamilies.PRIORITY_WEIGHT, series.className, settings.zone(), newLabel),
                registry.series(
                    MetricFamilies.REQUESTS, series.className, settings.zone(), newLabel)));
  }
}
