package lemondock.gateway.accounting;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import lemondock.dispatch.AttemptMetrics;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.ServerLifecycle;
import lemondock.policy.ServerRole;

/**
 * The metrics of attempts, reserved states and servers, by zone, and the totals of the router. Loop
 * thread only.
 */
final class ServerMetrics implements AttemptMetrics {
  // Fields of MetricFamilies.ATTEMPTS.
  private static final int SENT = 0;
  private static final int FIRST_OUTCOME = 1;
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

  // Fields of MetricFamilies.RESERVED_STATES.
  private static final int STATES_RESERVED = 0;
  private static final int STATES_FETCHED = 1;
  private static final int STATES_RELEASED = 2;
  private static final int STATES_NOW = 3;

  // Fields of MetricFamilies.SERVERS.
  private static final int READY = 0;
  private static final int NOT_READY = 1;
  private static final int WARMING_UP = 2;
  private static final int EJECTED = 3;
  private static final int SERVER_FIELDS = 4;

  // Fields of MetricFamilies.ROUTER.
  private static final int QUEUED = 0;
  private static final int TOKENS_IN_FLIGHT = 1;
  private static final int CAPACITY_TOKENS = 2;

  private final MetricRegistry registry;
  private final Recorder recorder;
  private final BoundedLabels zones;
  private final Series routerTotals;
  private final ServerSeries attempts;
  private final ServerSeries servers;
  private final Map<String, StateSeries> reservedStates = new HashMap<>();

  /** The series of reserved states in one zone: their counts and how long they were reserved. */
  private record StateSeries(Series counts, Series times) {}

  ServerMetrics(
      MetricRegistry registry, Recorder recorder, BoundedLabels zones, Series routerTotals) {
    this.registry = registry;
    this.recorder = recorder;
    this.zones = zones;
    this.routerTotals = routerTotals;
    this.attempts = new ServerSeries(MetricFamilies.ATTEMPTS, registry, zones);
    this.servers = new ServerSeries(MetricFamilies.SERVERS, registry, zones);
  }

  @Override
  public void attemptSent(ServerRole role, String zone) {
    recorder.increment(attempts.seriesFor(role, zone).slot(SENT));
  }

  @Override
  public void attemptEnded(ServerRole role, String zone, AttemptOutcome outcome) {
    int field = FIRST_OUTCOME + OUTCOME_FIELD_ORDER.indexOf(outcome);
    recorder.increment(attempts.seriesFor(role, zone).slot(field));
  }

  @Override
  public void stateReserved(String zone) {
    StateSeries series = stateSeries(zone);
    long ticket = recorder.beginUpdate();
    recorder.add(series.counts().slot(STATES_RESERVED), 1);
    recorder.add(series.counts().slot(STATES_NOW), 1);
    recorder.endUpdate(ticket);
  }

  @Override
  public void stateFetched(String zone, long reservedMicros) {
    stateEnded(zone, STATES_FETCHED, reservedMicros);
  }

  @Override
  public void stateReleased(String zone, long reservedMicros) {
    stateEnded(zone, STATES_RELEASED, reservedMicros);
  }

  private void stateEnded(String zone, int field, long reservedMicros) {
    StateSeries series = stateSeries(zone);
    final long ticket = recorder.beginUpdate();
    recorder.add(series.counts().slot(field), 1);
    recorder.add(series.counts().slot(STATES_NOW), -1);
    if (reservedMicros >= 0) {
      recorder.observe(series.times(), reservedMicros);
    }
    recorder.endUpdate(ticket);
  }

  private StateSeries stateSeries(String zone) {
    StateSeries existing = reservedStates.get(zone);
    if (existing != null) {
      return existing;
    }
    return reservedStates.computeIfAbsent(
        zones.labelFor(zone),
        label ->
            new StateSeries(
                registry.series(MetricFamilies.RESERVED_STATES, label),
                registry.series(MetricFamilies.RESERVED_STATE_DURATION, label)));
  }

  @Override
  public RouterStateVisitor stateVisitor(LongFunction<Optional<String>> zoneOf) {
    return new StateRecorder(zoneOf);
  }

  /** Sums the servers by role and zone, and records the sums once all servers have been visited. */
  private final class StateRecorder implements RouterStateVisitor {
    private final LongFunction<Optional<String>> zoneOf;
    private final Map<Series, long[]> sums = new HashMap<>();

    StateRecorder(LongFunction<Optional<String>> zoneOf) {
      this.zoneOf = zoneOf;
      servers.allSeries().forEach(series -> sums.put(series, new long[SERVER_FIELDS]));
    }

    @Override
    public void server(
        long id, ServerRole role, ServerLifecycle lifecycle, boolean warmingUp, boolean healthy) {
      Optional<String> zone = zoneOf.apply(id);
      if (zone.isEmpty()) {
        return;
      }
      long[] sum =
          sums.computeIfAbsent(
              servers.seriesFor(role, zone.get()), series -> new long[SERVER_FIELDS]);
      boolean ready = lifecycle == ServerLifecycle.READY;
      sum[ready ? READY : NOT_READY]++;
      sum[WARMING_UP] += ready && warmingUp ? 1 : 0;
      sum[EJECTED] += ready && !healthy ? 1 : 0;
    }

    @Override
    public void totals(int queued, long tokensInFlight, long capacityTokens) {
      final long ticket = recorder.beginUpdate();
      recorder.set(routerTotals.slot(QUEUED), queued);
      recorder.set(routerTotals.slot(TOKENS_IN_FLIGHT), tokensInFlight);
      recorder.set(routerTotals.slot(CAPACITY_TOKENS), capacityTokens);
      sums.forEach(this::recordSums);
      recorder.endUpdate(ticket);
    }

    private void recordSums(Series series, long[] sum) {
      for (int field = 0; field < sum.length; field++) {
        recorder.set(series.slot(field), sum[field]);
      }
    }
  }
}
