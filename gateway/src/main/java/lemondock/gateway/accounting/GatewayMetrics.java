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
 * What a gateway counts on its decision loop. Series are looked up once and kept; the names of
 * tenants and zones, which others choose, are bounded. Loop thread only, but for {@link #registry}.
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

  /** Makes metrics of their own, for the thread that the gateway decides on. */
  public GatewayMetrics(GatewaySettings settings) {
    GatewaySettings.Reporting reporting = settings.reporting();
    this.registry = new MetricRegistry(reporting.maxValues());
    this.recorder = registry.newRecorder();
    // the order of the series is that of their rows in reports
    this.gateway = registry.series(MetricFamilies.GATEWAY);
    final Series routerTotals = registry.series(MetricFamilies.ROUTER);
    this.loopLag = registry.series(MetricFamilies.LOOP_LAG);
    this.overload = registry.series(MetricFamilies.OVERLOAD);
    BoundedLabels tenants = labels("tenant", knownTenants(reporting), reporting.maxTenants());
    BoundedLabels zones = labels("zone", List.of(settings.zone()), MAX_ZONES);
    this.requests = new RequestMetrics(settings, registry, recorder, tenants);
    this.servers = new ServerMetrics(registry, recorder, zones, routerTotals);
  }

  private static List<String> knownTenants(GatewaySettings.Reporting reporting) {
    List<String> tenants = new ArrayList<>(reporting.tenants());
    tenants.add(RequestMetrics.NO_TENANT);
    return tenants;
  }

  private BoundedLabels labels(String dimension, List<String> known, int maxOthers) {
    Series surplus = registry.series(MetricFamilies.LABEL_OVERFLOWS, dimension);
    return new BoundedLabels(new LabelCardinalityLimit(known, maxOthers), surplus, recorder);
  }

  /** What was counted; its snapshot may be taken on any thread. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Counts clients' requests. */
  public RequestMetrics requests() {
    return requests;
  }

  /** Counts attempts and reserved states. */
  public AttemptMetrics attempts() {
    return servers;
  }

  /**
   * What is in flight in a gateway at one moment.
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

    /** In the order of the fields of {@link MetricFamilies#GATEWAY}. */
    private long[] values() {
      return new long[] {calls, requests, sessions, streams, toolCalls, endpoints, uptimeSeconds};
    }
  }

  /** Sets the gauges of what is in flight. */
  public void setInFlight(InFlight inFlight) {
    long[] values = inFlight.values();
    long ticket = recorder.beginUpdate();
    for (int field = 0; field < values.length; field++) {
      recorder.set(gateway.slot(field), values[field]);
    }
    recorder.endUpdate(ticket);
  }

  /** The decision loop ran a timer so many microseconds late. */
  public void recordLoopLag(long micros) {
    recorder.recordDuration(loopLag, micros);
  }

  /**
   * Sets the gauges of the gateway's own limit.
   *
   * @param admittedShare part of the requests that is admitted, 0 to 1
   * @param stalls times for which the process stood still
   * @param stallMicros their sum
   */
  public void setOverload(double admittedShare, long stalls, long stallMicros) {
    long ticket = recorder.beginUpdate();
    recorder.set(overload.slot(ADMITTED_SHARE), Math.round(admittedShare * SHARE_SCALE));
    recorder.set(overload.slot(STALLS), stalls);
    recorder.set(overload.slot(STALL_MICROS), stallMicros);
    recorder.endUpdate(ticket);
  }

  /** A request was rejected because of overload; it is counted as a rejected request too. */
  public void countLoadShed() {
    recorder.increment(overload.slot(REJECTED));
  }
}
