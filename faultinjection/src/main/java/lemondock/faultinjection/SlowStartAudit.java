package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.faultinjection.RunRecord.Announcement;
import lemondock.faultinjection.RunRecord.ServerStart;

/**
 * A server that has just started must not be overloaded: in each window of its warm-up it may get a
 * multiple of what it can do then, and what chance explains beyond it.
 */
final class SlowStartAudit implements RunAudit {
  private static final long WARM_UP_MICROS = TimeUnit.MILLISECONDS.toMicros(FleetShape.WARM_UP_MS);
  private static final long WINDOW_MICROS =
      TimeUnit.MILLISECONDS.toMicros(FleetShape.OVERLOAD_WINDOW_MS);

  /** Below so many allowed calls chance is granted more. */
  private static final int SMALL_COUNT = 30;

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

  /** Adds the first window that got too many calls. */
  private void auditStart(ServerStart start, Consumer<Breach> breaches) {
    List<Long> arrivals = arrivalsInWarmUp(start);
    for (long windowBegin : arrivals) {
      long calls =
          arrivals.stream()
              .filter(arrived -> arrived >= windowBegin && arrived < windowBegin + WINDOW_MICROS)
              .count();
      double limit = limit(start, windowBegin);
      if (calls > limit) {
        breaches.accept(breach(start, windowBegin, calls, limit));
        return;
      }
    }
  }

  private List<Long> arrivalsInWarmUp(ServerStart start) {
    return history.runRecord().arrivals().stream()
        .filter(arrival -> arrival.serverId().equals(start.serverId()))
        .map(Arrival::arrivedMicros)
        .filter(arrived -> arrived >= start.startedMicros())
        .filter(arrived -> arrived <= start.startedMicros() + WARM_UP_MICROS)
        .sorted()
        .toList();
  }

  private double limit(ServerStart start, long windowBegin) {
    double capacityShare =
        FleetShape.COLD_SHARE
            + (1 - FleetShape.COLD_SHARE) * (windowBegin - start.startedMicros()) / WARM_UP_MICROS;
    double allowed =
        FleetShape.OVERLOAD_FACTOR * capacityShare * warmCallsPerWindow(start.serverId());
    double slack = allowed < SMALL_COUNT ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
    return allowed + slack;
  }

  private double warmCallsPerWindow(String serverId) {
    return history.runRecord().serverCapacity(serverId) * FleetShape.OVERLOAD_WINDOW_MS / 1_000;
  }

  private Breach breach(ServerStart start, long windowBegin, long calls, double limit) {
    return new Breach(
        Rule.SLOW_START,
        start.serverId()
            + ", started "
            + history.formatMoment(start.startedMicros())
            + ", got "
            + calls
            + " calls from "
            + history.formatMoment(windowBegin)
            + " on, "
            + Math.round(limit)
            + " are allowed");
  }
}
