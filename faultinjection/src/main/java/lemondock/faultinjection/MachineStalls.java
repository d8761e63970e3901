package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The periods in which the machine did not run a thread that was due, or in which the test rig
 * itself kept others waiting: delays meanwhile are not the gateways' doing. Thread-safe.
 */
final class MachineStalls implements AutoCloseable {
  private static final long TICK_MICROS = TimeUnit.MILLISECONDS.toMicros(5);
  private static final long MIN_STALL_MICROS = TimeUnit.MILLISECONDS.toMicros(25);

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::watch, "machine-stalls");
  private volatile boolean closed;

  private record Stall(long fromMicros, long untilMicros) {
    long overlapMicros(long from, long until) {
      return Math.max(0, Math.min(until, untilMicros) - Math.max(from, fromMicros));
    }
  }

  /** Begins to watch, on a thread of its own. */
  MachineStalls() {
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    while (!closed) {
      long dueMicros = MonotonicClock.nowMicros() + TICK_MICROS;
      MonotonicClock.sleepUntil(dueMicros);
      recordWork(dueMicros, MonotonicClock.nowMicros());
    }
  }

  /** Records work of the rig that others had to wait for; it counts as a stall if it was long. */
  void recordWork(long fromMicros, long untilMicros) {
    if (untilMicros - fromMicros >= MIN_STALL_MICROS) {
      stalls.add(new Stall(fromMicros, untilMicros));
    }
  }

  /** Time lost in that period, in microseconds. */
  long stalledMicros(long fromMicros, long untilMicros) {
    return stalls.stream().mapToLong(stall -> stall.overlapMicros(fromMicros, untilMicros)).sum();
  }

  /** All time lost so far, in microseconds. */
  long totalMicros() {
    return stalledMicros(0, Long.MAX_VALUE);
  }

  @Override
  public void close() {
    closed = true;
  }
}
