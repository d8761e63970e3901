package lemondock.gateway.accounting;

import java.util.ArrayList;
import java.util.List;
import lemondock.dispatch.AttemptMetrics;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.LabelCardinalityLimit;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;

/**
 * The metrics that a gateway records on its loop thread. Series are looked up once and kept; the
 * number of label values for tenants and zones, whose names come from outside, is limited. Loop
 * thread only, except for {@link #registry}.
 */
public final class GatewayMetrics {
  private static final int MAX_ZONES = 64;
  private static final double SHARE_SCALE = 1_000;

  // Fields of MetricFamilies.OVERLOAD.
  private static final int ADMITTED_SHARE = 0;
  private static final int REJECTED = 1;
  private static final int STALLS = 2;
  private static final int STALL_MICROS = 3;

  private final MetricRegistry registry;
  private final Recorder recorder;
  private final Series gateway;
  private final Series loopLag;
  private final Series overload;
  private final RequestMetrics requests;
  private final ServerMetrics servers;

  /** Creates metrics with their own registry and a recorder for the loop thread. */
  public GatewayMetrics(GatewaySettings settings) {
    GatewaySettings.Reporting reporting = settings.reporting();
    this.registry = new MetricRegistry(reporting.maxValues());
    this.recorder = registry.newRecorder();
    // series are created in the order of their rows in reports
    this.gateway = registry.series(MetricFamilies.GATEWAY);
    final Series routerTotals = registry.series(MetricFamilies.ROUTER);
    this.loopLag = registry.series(MetricFamilies.LOOP_LAG);
    this.overload = registry.series(MetricFamilies.OVERLOAD);
    BoundedLabels tenants =
        boundedLabels("tenant", knownTenants(reporting), reporting.maxTenants());
    BoundedLabels zones = boundedLabels("zone", List.of(settings.zone()), MAX_ZONES);
    this.requests = new RequestMetrics(settings, registry, recorder, tenants);
    this.servers = new ServerMetrics(registry, recorder, zones, routerTotals);
  }

  private static List<String> knownTenants(GatewaySettings.Reporting reporting) {
    List<String> tenants = new ArrayList<>(reporting.tenants());
    tenants.add(RequestMetrics.NO_TENANT);
    return tenants;
  }

  private BoundedLabels boundedLabels(String dimension, List<String> known, int maxOthers) {
    Series overflows = registry.series(MetricFamilies.LABEL_OVERFLOWS, dimension);
    return new BoundedLabels(new LabelCardinalityLimit(known, maxOthers), overflows, recorder);
  }

  /** The registry of the metrics; a snapshot may be taken on any thread. */
  public MetricRegistry registry() {
    return registry;
  }

  /** The metrics of clients' calls. */
  public RequestMetrics requests() {
    return requests;
  }

  /** The metrics of attempts and reserved states. */
  public AttemptMetrics attempts() {
    return servers;
  }

  /**
   * Work in flight in a gateway at one moment.
   *
   * @param toolCalls tool calls that wait for the client's result
   */
  public record InFlight(
      long calls,
      long requests,
      long sessions,
      long streams,
      long toolCalls,
      long endpoints,
      long uptimeSeconds) {

    /** The values in the order of the fields of {@link MetricFamilies#GATEWAY}. */
    private long[] values() {
      return new long[] {calls, requests, sessions, streams, toolCalls, endpoints, uptimeSeconds};
    }
  }

  /** Sets the gauges of the work in flight. */
  public void setInFlight(InFlight inFlight) {
    long[] values = inFlight.values();
    long ticket = recorder.beginUpdate();
    for (int field = 0; field < values.length; field++) {
      recorder.set(gateway.slot(field), values[field]);
    }
    recorder.endUpdate(ticket);
  }

  /** Records how late the loop ran a due timer, in microseconds. */
  public void recordLoopLag(long micros) {
    recorder.recordDuration(loopLag, micros);
  }

  /**
   * Sets the gauges of the gateway's overload protection.
   *
   * @param admittedShare fraction of requests that is admitted, 0 to 1
   * @param stalls number of stalls of the process
   * @param stallMicros total duration of the stalls
   */
  public void setOverload(double admittedShare, long stalls, long stallMicros) {
    long ticket = recorder.beginUpdate();
    recorder.set(overload.slot(ADMITTED_SHARE), Math.round(admittedShare * SHARE_SCALE));
    recorder.set(overload.slot(STALLS), stalls);
    recorder.set(overload.slot(STALL_MICROS), stallMicros);
    recorder.endUpdate(ticket);
  }

  /**
   * Counts a call that was rejected because of overload, in addition to {@link
   * RequestMetrics#requestRejected}.
   */
  public void countLoadShed() {
    recorder.increment(overload.slot(REJECTED));
  }
}
