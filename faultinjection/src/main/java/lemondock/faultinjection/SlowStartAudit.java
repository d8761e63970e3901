package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.faultinjection.RunRecord.Announcement;
import lemondock.faultinjection.RunRecord.ServerStart;

/**
 * A server that has just started must not be overloaded: in each time window of its warm-up it may
 * get at most a fixed multiple of its capacity at that time, plus an allowance for random
 * variation.
 */
final class SlowStartAudit implements RunAudit {
  private static final long WARM_UP_MICROS = TimeUnit.MILLISECONDS.toMicros(FleetShape.WARM_UP_MS);
  private static final long WINDOW_MICROS =
      TimeUnit.MILLISECONDS.toMicros(FleetShape.OVERLOAD_WINDOW_MS);

  /** Below this number of allowed calls, the allowance for random variation is larger. */
  private static final int SMALL_CALL_COUNT = 30;

  private final RunHistory history;

  SlowStartAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(Consumer<Breach> breaches) {
    List<String> serverIds =
        history.runRecord().announcements().stream()
            .map(Announcement::serverId)
            .distinct()
            .toList();
    for (String serverId : serverIds) {
      for (ServerStart start : history.runRecord().serverStarts()) {
        if (start.serverId().equals(serverId)) {
          auditStart(start, breaches);
        }
      }
    }
  }

  /**
   * Adds a breach for the first window in which the server got too many calls, and for no other.
   */
  private void auditStart(ServerStart start, Consumer<Breach> breaches) {
    List<Long> arrivalTimes = arrivalTimesInWarmUp(start);
    for (long windowBeginMicros : arrivalTimes) {
      long calls =
          arrivalTimes.stream()
              .filter(
                  arrivedMicros ->
                      arrivedMicros >= windowBeginMicros
                          && arrivedMicros < windowBeginMicros + WINDOW_MICROS)
              .count();
      double maxCalls = maxCalls(start, windowBeginMicros);
      if (calls > maxCalls) {
        breaches.accept(createBreach(start, windowBeginMicros, calls, maxCalls));
        return;
      }
    }
  }

  private List<Long> arrivalTimesInWarmUp(ServerStart start) {
    return history.runRecord().arrivals().stream()
        .filter(arrival -> arrival.serverId().equals(start.serverId()))
        .map(Arrival::arrivedMicros)
        .filter(arrivedMicros -> arrivedMicros >= start.startedMicros())
        .filter(arrivedMicros -> arrivedMicros <= start.startedMicros() + WARM_UP_MICROS)
        .sorted()
        .toList();
  }

  private double maxCalls(ServerStart start, long windowBeginMicros) {
    double capacityShare =
        FleetShape.COLD_SHARE
            + (1 - FleetShape.COLD_SHARE)
                * (windowBeginMicros - start.startedMicros())
                / WARM_UP_MICROS;
    double allowed =
        FleetShape.OVERLOAD_FACTOR * capacityShare * warmCallsPerWindow(start.serverId());
    double slack =
        allowed < SMALL_CALL_COUNT ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    return allowed + slack;
  }

  private double warmCallsPerWindow(String serverId) {
    return history.runRecord().serverCapacity(serverId) * FleetShape.OVERLOAD_WINDOW_MS / 1_000;
  }

  private Breach createBreach(
      ServerStart start, long windowBeginMicros, long calls, double maxCalls) {
    return new Breach(
        Rule.SLOW_START,
        start.serverId()
            + ", started "
            + history.formatTime(start.startedMicros())
            + ", got "
            + calls
            + " calls from "
            + history.formatTime(windowBeginMicros)
            + " on, "
            + Math.round(maxCalls)
            + " are allowed");
  }
}
