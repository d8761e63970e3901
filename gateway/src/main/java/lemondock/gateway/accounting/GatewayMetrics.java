package lemondock.gateway.accounting;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import lemondock.dispatch.AttemptMetrics;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.LabelCardinalityLimit;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * What a gateway counts on its decision loop. Series are looked up once and kept; the names of
 * tenants and zones, which others choose, are bounded. Loop thread only, but for {@link #registry}.
 */
public final class GatewayMetrics implements AttemptMetrics {
  /** The tenant of a request that names none. */
  public static final String NO_TENANT = "none";

  /**
   * The field of {@link MetricFamilies#REQUESTS} for served; those of the other endings follow in
   * the order of their enum.
   */
  static final int FIRST_OUTCOME_FIELD = 2;

  private static final int REJECTED_FIELD = 3;
  private static final int SENT_FIELD = 0;
  private static final int MAX_ZONES = 64;
  private static final List<AttemptOutcome> OUTCOME_FIELD_ORDER =
      List.of(
          AttemptOutcome.OK,
          AttemptOutcome.PROMPT_READ,
          AttemptOutcome.ERROR,
          AttemptOutcome.REJECTED,
          AttemptOutcome.TIMEOUT,
          AttemptOutcome.CONNECT_FAILED,
          AttemptOutcome.RESET,
          AttemptOutcome.CANCELLED,
          AttemptOutcome.ABANDONED_BEFORE_SEND);

  private final GatewaySettings settings;
  private final MetricRegistry registry;
  private final Recorder recorder;
  private final List<ClassSeries> classes = new ArrayList<>();
  private final LabelCardinalityLimit tenants;
  private final LabelCardinalityLimit zones;
  private final Map<ServerRole, Map<String, Series>> attempts = new EnumMap<>(ServerRole.class);
  private final Map<ServerRole, Map<String, Series>> servers = new EnumMap<>(ServerRole.class);
  private final Map<String, Series[]> reservedStates = new HashMap<>();
  private final Series gateway;
  private final Series module;
  private final Series loopLag;
  private final Series overload;
  private final Series otherTenants;
  private final Series otherZones;

  /** The series of one class, which any of its requests shares. */
  static final class ClassSeries {
    final long priorityWeight;
    final long latePriorityWeight;
    final double tokenObjectiveMicros;
    final Series verdicts;
    final Series tools;
    final Series firstToken;
    final Series tokenPace;
    final Series wholeTime;
    final Map<String, TenantSeries> byTenant = new HashMap<>();

    ClassSeries(MetricRegistry registry, GatewaySettings.ClassSettings settings, String zone) {
      priorityWeight = Math.round(settings.worth() * MetricFamilies.PRIORITY_WEIGHT_SCALE);
      latePriorityWeight =
          Math.round(
              settings.worth() * settings.lateWorth() * MetricFamilies.PRIORITY_WEIGHT_SCALE);
      tokenObjectiveMicros = GatewaySettings.micros(settings.tokenAimMs());
      verdicts = registry.series(MetricFamilies.SERVICE_LEVEL, settings.name(), zone);
      tools = registry.series(MetricFamilies.TOOL_CALLS, settings.name());
      firstToken = registry.series(MetricFamilies.TIME_TO_FIRST_TOKEN, settings.name());
      tokenPace = registry.series(MetricFamilies.TIME_PER_OUTPUT_TOKEN, settings.name());
      wholeTime = registry.series(MetricFamilies.REQUEST_DURATION, settings.name());
    }
  }

  /** The series of one class and tenant. */
  record TenantSeries(Series worth, Series requests) {}

  /** Makes metrics with a registry of their own, for the thread that the gateway decides on. */
  public GatewayMetrics(GatewaySettings settings) {
    this.settings = settings;
    this.registry = new MetricRegistry(settings.reporting().maxValues());
    this.recorder = registry.newRecorder();
    this.tenants =
        new LabelCardinalityLimit(
            append(settings.reporting().tenants(), NO_TENANT), settings.reporting().maxTenants());
    this.zones = new LabelCardinalityLimit(List.of(settings.zone()), MAX_ZONES);
    this.gateway = registry.series(MetricFamilies.GATEWAY);
    this.module = registry.series(MetricFamilies.ROUTER);
    this.loopLag = registry.series(MetricFamilies.LOOP_LAG);
    this.overload = registry.series(MetricFamilies.OVERLOAD);
    this.otherTenants = registry.series(MetricFamilies.LABEL_OVERFLOWS, "tenant");
    this.otherZones = registry.series(MetricFamilies.LABEL_OVERFLOWS, "zone");
    settings
        .classes()
        .forEach(
            requestClass -> classes.add(new ClassSeries(registry, requestClass, settings.zone())));
  }

  private static List<String> append(List<String> some, String one) {
    List<String> all = new ArrayList<>(some);
    all.add(one);
    return all;
  }

  /** What was counted; its snapshot may be taken on any thread. */
  public MetricRegistry registry() {
    return registry;
  }

  Recorder recorder() {
    return recorder;
  }

  // ==== requests

  /** A request was taken. Times in microseconds. */
  public CallMetrics requestAccepted(
      int classId, String tenant, boolean retry, int promptTokens, long nowMicros) {
    ClassSeries series = classes.get(classId);
    TenantSeries request = tenantSeries(series, classId, tenant);
    long ticket = recorder.beginUpdate();
    countArrival(series, request, retry);
    recorder.endUpdate(ticket);
    GatewaySettings.ClassSettings classSettings = settings.classes().get(classId);
    long latencyObjectiveMicros =
        GatewaySettings.micros(
            classSettings.aimMs() + classSettings.aimMsPerThousandTokens() * promptTokens / 1000);
    return new CallMetrics(this, series, request, nowMicros, latencyObjectiveMicros);
  }

  /** A request was rejected before it was taken, for a bound of the gateway or because it stops. */
  public void requestRejected(int classId, String tenant, boolean retry) {
    ClassSeries series = classes.get(classId);
    TenantSeries request = tenantSeries(series, classId, tenant);
    final long ticket = recorder.beginUpdate();
    countArrival(series, request, retry);
    recorder.add(request.requests.slot(REJECTED_FIELD), 1);
    recorder.add(series.verdicts.slot(1), 1);
    recorder.endUpdate(ticket);
  }

  private void countArrival(ClassSeries series, TenantSeries request, boolean retry) {
    recorder.add(request.requests.slot(0), 1);
    recorder.add(request.requests.slot(1), retry ? 1 : 0);
    recorder.add(request.worth.slot(retry ? 1 : 0), series.priorityWeight);
  }

  private TenantSeries tenantSeries(ClassSeries series, int classId, String tenant) {
    String label = boundedLabel(tenants, otherTenants, tenant == null ? NO_TENANT : tenant);
    TenantSeries found = series.byTenant.get(label);
    if (found == null) {
      String name = settings.classes().get(classId).name();
      found =
          new TenantSeries(
              registry.series(MetricFamilies.PRIORITY_WEIGHT, name, settings.zone(), label),
              registry.series(MetricFamilies.REQUESTS, name, settings.zone(), label));
      series.byTenant.put(label, found);
    }
    return found;
  }

  private String boundedLabel(LabelCardinalityLimit names, Series others, String name) {
    long before = names.overflowCount();
    String label = names.labelFor(name);
    if (names.overflowCount() != before) {
      recorder.increment(others.firstSlot());
    }
    return label;
  }

  // ==== attempts and states

  /** An attempt is made at a server. */
  public void attemptSent(ServerRole role, String zone) {
    recorder.increment(seriesFor(attempts, MetricFamilies.ATTEMPTS, role, zone).slot(SENT_FIELD));
  }

  /** An attempt has ended. */
  public void attemptEnded(ServerRole role, String zone, AttemptOutcome ending) {
    recorder.increment(
        seriesFor(attempts, MetricFamilies.ATTEMPTS, role, zone)
            .slot(1 + OUTCOME_FIELD_ORDER.indexOf(ending)));
  }

  private Series seriesFor(
      Map<ServerRole, Map<String, Series>> byRoleAndZone,
      lemondock.metrics.MetricFamily family,
      ServerRole role,
      String zone) {
    Map<String, Series> byZone = byRoleAndZone.computeIfAbsent(role, r -> new HashMap<>());
    Series found = byZone.get(zone);
    if (found == null) {
      String label = boundedLabel(zones, otherZones, zone);
      found = byZone.get(label);
      if (found == null) {
        found = registry.series(family, role.name().toLowerCase(Locale.ROOT), label);
        byZone.put(label, found);
      }
    }
    return found;
  }

  /** A read left a state at a server of the zone. */
  public void stateReserved(String zone) {
    countState(zone, 0, 1, -1);
  }

  /** A writer took a state that had waited for so many microseconds. */
  public void stateFetched(String zone, long waitedMicros) {
    countState(zone, 1, -1, waitedMicros);
  }

  /** A state was let go unused after so many microseconds. */
  public void stateReleased(String zone, long waitedMicros) {
    countState(zone, 2, -1, waitedMicros);
  }

  private void countState(String zone, int field, int change, long waitedMicros) {
    Series[] series = reservedStates.get(zone);
    if (series == null) {
      String label = boundedLabel(zones, otherZones, zone);
      series =
          reservedStates.computeIfAbsent(
              label,
              z ->
                  new Series[] {
                    registry.series(MetricFamilies.RESERVED_STATES, z),
                    registry.series(MetricFamilies.RESERVED_STATE_DURATION, z)
                  });
    }
    final long ticket = recorder.beginUpdate();
    recorder.add(series[0].slot(field), 1);
    recorder.add(series[0].slot(3), change);
    if (waitedMicros >= 0) {
      recorder.observe(series[1], waitedMicros);
    }
    recorder.endUpdate(ticket);
  }

  // ==== gauges

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
      long uptimeSeconds) {}

  /** Sets the gauges of what is in flight. */
  public void setInFlight(InFlight inFlight) {
    long[] values = {
      inFlight.calls(),
      inFlight.requests(),
      inFlight.sessions(),
      inFlight.streams(),
      inFlight.toolCalls(),
      inFlight.endpoints(),
      inFlight.uptimeSeconds()
    };
    long ticket = recorder.beginUpdate();
    for (int i = 0; i < values.length; i++) {
      recorder.set(gateway.slot(i), values[i]);
    }
    recorder.endUpdate(ticket);
  }

  /** The decision loop ran a timer so many microseconds late. */
  public void recordLoopLag(long micros) {
    recorder.recordDuration(loopLag, micros);
  }

  /** The gateway's own limit: the share let in, stalls and their sum in microseconds. */
  public void setOverload(double share, long stalls, long stalledMicros) {
    long ticket = recorder.beginUpdate();
    recorder.set(overload.slot(0), Math.round(share * 1_000));
    recorder.set(overload.slot(2), stalls);
    recorder.set(overload.slot(3), stalledMicros);
    recorder.endUpdate(ticket);
  }

  /** A request was refused because the gateway is late; it is counted as rejected too. */
  public void countLoadShed() {
    recorder.increment(overload.slot(1));
  }

  /** Takes a look at the router; {@code zones} names the zone of a server's number, or null. */
  public RouterStateVisitor stateVisitor(
      java.util.function.LongFunction<java.util.Optional<String>> zoneOf) {
    Map<Series, long[]> sums = new HashMap<>();
    servers.values().forEach(byZone -> byZone.values().forEach(s -> sums.put(s, new long[4])));
    return new RouterStateVisitor() {
      @Override
      public void server(
          long id, ServerRole role, ServerLifecycle standing, boolean cold, boolean healthy) {
        String zone = zoneOf.apply(id).orElse(null);
        if (zone != null) {
          long[] sum =
              sums.computeIfAbsent(
                  seriesFor(servers, MetricFamilies.SERVERS, role, zone), s -> new long[4]);
          boolean ready = standing == ServerLifecycle.READY;
          sum[ready ? 0 : 1]++;
          sum[2] += ready && cold ? 1 : 0;
          sum[3] += ready && !healthy ? 1 : 0;
        }
      }

      @Override
      public void totals(int queued, long tokensInFlight, long capacityTokens) {
        final long ticket = recorder.beginUpdate();
        recorder.set(module.slot(0), queued);
        recorder.set(module.slot(1), tokensInFlight);
        recorder.set(module.slot(2), capacityTokens);
        sums.forEach(
            (s, sum) -> {
              for (int i = 0; i < sum.length; i++) {
                recorder.set(s.slot(i), sum[i]);
              }
            });
        recorder.endUpdate(ticket);
      }
    };
  }
}
