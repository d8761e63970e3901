package lemondock.faultinjection;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * The clock of a run: monotonic microseconds since an arbitrary origin. Only the start times of
 * servers in endpoint lists are wall time. Every field and parameter of this package whose name
 * ends in {@code Micros} is a duration or a time of this clock.
 */
final class MonotonicClock {
  private MonotonicClock() {}

  static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Sleeps until the given time, if that is in the future; returns early if interrupted. */
  static void sleepUntil(long untilMicros) {
    for (long remaining = untilMicros - nowMicros();
        remaining > 0;
        remaining = untilMicros - nowMicros()) {
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(remaining));
      if (Thread.currentThread().isInterrupted()) {
        return;
      }
    }
  }

  /** Sleeps for the given duration; returns early if interrupted. */
  static void sleepMicros(long micros) {
    sleepUntil(nowMicros() + micros);
  }
}
