package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * The periods in which the machine did not run a thread that was due, or in which the test rig
 * itself blocked other threads. Delays in these periods are not attributed to the gateways.
 * Thread-safe.
 */
final class MachineStalls implements AutoCloseable {
  private static final long CHECK_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(5);
  private static final long MIN_STALL_MICROS = TimeUnit.MILLISECONDS.toMicros(25);

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::detectStalls, "machine-stalls");
  private volatile boolean closed;

  private record Stall(long fromMicros, long untilMicros) {
    long overlapMicros(long periodFromMicros, long periodUntilMicros) {
      return Math.max(
          0, Math.min(periodUntilMicros, untilMicros) - Math.max(periodFromMicros, fromMicros));
    }
  }

  /** Starts a thread that detects stalls. */
  MachineStalls() {
    thread.setDaemon(true);
    thread.start();
  }

  private void detectStalls() {
    while (!closed) {
      long dueMicros = MonotonicClock.nowMicros() + CHECK_INTERVAL_MICROS;
      MonotonicClock.sleepUntil(dueMicros);
      recordDelay(dueMicros, MonotonicClock.nowMicros());
    }
  }

  /**
   * Records a delay of a thread of the test rig that others had to wait for; it counts as a stall
   * if it lasted 25 ms or more.
   */
  void recordDelay(long fromMicros, long untilMicros) {
    if (untilMicros - fromMicros >= MIN_STALL_MICROS) {
      stalls.add(new Stall(fromMicros, untilMicros));
    }
  }

  /** The total length of the stalls within that period, in microseconds. */
  long stalledMicros(long fromMicros, long untilMicros) {
    return stalls.stream().mapToLong(stall -> stall.overlapMicros(fromMicros, untilMicros)).sum();
  }

  /** The total length of all stalls so far, in microseconds. */
  long totalMicros() {
    return stalledMicros(0, Long.MAX_VALUE);
  }

  @Override
  public void close() {
    closed = true;
  }
}
