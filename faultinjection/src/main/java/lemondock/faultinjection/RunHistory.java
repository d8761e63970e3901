package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Answers the queries of the audits from the record of a finished run. */
final class RunHistory {
  /**
   * How long a link must have been healthy before an attempt for the audits to rely on the time of
   * its arrival.
   */
  private static final long MIN_HEALTHY_BEFORE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);

  /** How long after the end of a call an attempt that was sent before that end may still arrive. */
  private static final long ARRIVAL_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  private static final long KILL_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(50);
  private static final long LATE_CALL_MICROS = TimeUnit.MILLISECONDS.toMicros(700);

  private final RunRecord runRecord;
  private final FleetShape shape;
  private final LinkHealth linkHealth;

  /** By call id; each list is ordered by arrival time. */
  private final Map<String, List<Arrival>> arrivalsByCall = new HashMap<>();

  RunHistory(RunRecord runRecord, FleetShape shape, LinkHealth linkHealth) {
    this.runRecord = runRecord;
    this.shape = shape;
    this.linkHealth = linkHealth;
    for (Arrival arrival : runRecord.arrivals()) {
      arrivalsByCall.computeIfAbsent(arrival.requestId(), absent -> new ArrayList<>()).add(arrival);
    }
    Comparator<Arrival> byTime = Comparator.comparingLong(Arrival::arrivedMicros);
    arrivalsByCall.values().forEach(arrivals -> arrivals.sort(byTime));
  }

  RunRecord runRecord() {
    return runRecord;
  }

  FleetShape shape() {
    return shape;
  }

  /** The attempts of a call that reached a server, ordered by arrival time. */
  List<Arrival> arrivals(ClientCall call) {
    return arrivalsByCall.getOrDefault(call.id(), List.of());
  }

  /**
   * Whether the link was healthy for long enough before the attempt that its arrival time is close
   * to the time at which the gateway sent it.
   */
  boolean arrivedUndelayed(ClientCall call, Arrival arrival) {
    return isLinkHealthyUntil(call, arrival, arrival.firstByteMicros());
  }

  /** Whether an attempt's link was healthy from before the attempt until that time. */
  boolean isLinkHealthyUntil(ClientCall call, Arrival arrival, long untilMicros) {
    return linkHealth.isHealthyBetween(
        call.gatewayName(),
        arrival.serverId(),
        arrival.firstByteMicros() - MIN_HEALTHY_BEFORE_MICROS,
        untilMicros);
  }

  /**
   * Whether no fault that breaks connections affected an attempt's link from before the attempt
   * until that time.
   */
  boolean keptConnectionsUntil(ClientCall call, Arrival arrival, long untilMicros) {
    return linkHealth.keepsConnectionsBetween(
        call.gatewayName(),
        arrival.serverId(),
        arrival.firstByteMicros() - MIN_HEALTHY_BEFORE_MICROS,
        untilMicros);
  }

  /**
   * Whether an attempt began so long after the given time that network latency and machine stalls
   * do not explain the difference.
   */
  boolean beganAfter(long timeMicros, ClientCall call, Arrival arrival) {
    long stalledMicros = stalledMicros(call.sentMicros(), arrival.firstByteMicros());
    return arrival.firstByteMicros() > timeMicros + ARRIVAL_SLACK_MICROS + stalledMicros;
  }

  /** Whether a call ended because its gateway got SIGKILL. */
  boolean wasEndedByKill(ClientCall call) {
    return incarnation(call)
        .filter(GatewayIncarnation::wasKilled)
        .filter(process -> call.endedMicros() >= process.killedMicros() - KILL_SLACK_MICROS)
        .isPresent();
  }

  /** Whether a call came so late after SIGTERM that it must not be under way at SIGKILL. */
  boolean cameLate(ClientCall call) {
    return incarnation(call)
        .filter(GatewayIncarnation::wasTerminated)
        .filter(process -> call.sentMicros() > process.terminatedMicros() + LATE_CALL_MICROS)
        .isPresent();
  }

  /** The gateway's process that ran when a call was sent. */
  Optional<GatewayIncarnation> incarnation(ClientCall call) {
    return runRecord.incarnationAt(call.gatewayName(), call.sentMicros());
  }

  /** How long the machine was stalled within that period, in microseconds. */
  long stalledMicros(long fromMicros, long untilMicros) {
    return runRecord.stalls().stalledMicros(fromMicros, untilMicros);
  }

  /** Formats a time as seconds since the start of the run. */
  String formatTime(long timeMicros) {
    return runRecord.formatTime(timeMicros);
  }

  /** Describes a call and its outcome for the text of a breach. */
  String describe(ClientCall call) {
    return call.id()
        + " ("
        + call.effect()
        + ", "
        + call.gatewayName()
        + ", sent "
        + formatTime(call.sentMicros())
        + ", may wait "
        + TimeUnit.MICROSECONDS.toMillis(call.deadlineMicros())
        + " ms, "
        + call.outcome()
        + " "
        + call.status()
        + " "
        + formatTime(call.endedMicros())
        + ")";
  }
}
