package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What audits ask of a run that is over. */
final class RunHistory {
  /** How long a link must have worked for what comes over it to be judged by its time. */
  private static final long HEALTHY_BEFORE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_000);

  /** How long after the end of a call an attempt that was sent before it may still arrive. */
  private static final long ARRIVAL_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

  private final RunRecord runRecord;
  private final FleetShape shape;
  private final LinkHealth linkHealth;

  /** In the order in which they arrived. */
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

  /** The attempts of a call that reached a server, in the order in which they did. */
  List<Arrival> arrivals(ClientCall call) {
    return arrivalsByCall.getOrDefault(call.id(), List.of());
  }

  /** Whether the link worked for so long that an attempt arrived when its gateway sent it. */
  boolean arrivedUndelayed(ClientCall call, Arrival arrival) {
    return isLinkHealthyUntil(call, arrival, arrival.firstByteMicros());
  }

  /** Whether an attempt's link worked from before the attempt until that moment. */
  boolean isLinkHealthyUntil(ClientCall call, Arrival arrival, long untilMicros) {
    return linkHealth.isHealthyBetween(
        call.gatewayName(),
        arrival.serverId(),
        arrival.firstByteMicros() - HEALTHY_BEFORE_MICROS,
        untilMicros);
  }

  /** Whether an attempt began later after a moment than the network and the machine explain. */
  boolean beganAfter(long momentMicros, ClientCall call, Arrival arrival) {
    long stalledMicros = stalledMicros(call.sentMicros(), arrival.firstByteMicros());
    return arrival.firstByteMicros() > momentMicros + ARRIVAL_SLACK_MICROS + stalledMicros;
  }

  /** Time in that period in which the machine stood still, in microseconds. */
  long stalledMicros(long fromMicros, long untilMicros) {
    return runRecord.stalls().stalledMicros(fromMicros, untilMicros);
  }

  /** A moment as seconds of the run. */
  String formatMoment(long momentMicros) {
    return runRecord.formatMoment(momentMicros);
  }

  /** A call and its outcome as breaches name it. */
  String describe(ClientCall call) {
    return call.id()
        + " ("
        + call.effect()
        + ", "
        + call.gatewayName()
        + ", sent "
        + formatMoment(call.sentMicros())
        + ", may wait "
        + TimeUnit.MICROSECONDS.toMillis(call.deadlineMicros())
        + " ms, "
        + call.outcome()
        + " "
        + call.status()
        + " "
        + formatMoment(call.endedMicros())
        + ")";
  }
}
