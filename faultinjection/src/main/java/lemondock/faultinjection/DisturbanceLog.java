package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The periods in which faults were injected into a link or a process, so that audits can exclude
 * events within them. Thread-safe.
 */
final class DisturbanceLog {
  private final List<Disturbance> disturbances = new CopyOnWriteArrayList<>();

  private static final class Disturbance {
    private final long beganMicros = MonotonicClock.nowMicros();
    private volatile long endedMicros = Long.MAX_VALUE;

    /** Sets the end of the disturbance unless it has already ended. */
    void end(long nowMicros) {
      endedMicros = Math.min(endedMicros, nowMicros);
    }

    boolean overlaps(long fromMicros, long untilMicros) {
      return beganMicros <= untilMicros && endedMicros >= fromMicros;
    }
  }

  /** Begins a disturbance now, which lasts until {@link #endAll}. */
  void begin() {
    disturbances.add(new Disturbance());
  }

  /** Records a disturbance that begins and ends now. */
  void addMomentary() {
    Disturbance disturbance = new Disturbance();
    disturbance.end(disturbance.beganMicros);
    disturbances.add(disturbance);
  }

  /** Ends all disturbances that have not ended yet. */
  void endAll() {
    long nowMicros = MonotonicClock.nowMicros();
    disturbances.forEach(disturbance -> disturbance.end(nowMicros));
  }

  /** Whether no disturbance overlaps that period. */
  boolean noneBetween(long fromMicros, long untilMicros) {
    return disturbances.stream()
        .noneMatch(disturbance -> disturbance.overlaps(fromMicros, untilMicros));
  }
}
