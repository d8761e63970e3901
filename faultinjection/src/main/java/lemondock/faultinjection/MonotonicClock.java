package lemondock.faultinjection;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * The one clock of a run: monotonic microseconds since an arbitrary origin. Every field and
 * parameter of this package whose name ends in {@code Micros} is a duration or a moment of it.
 */
final class MonotonicClock {
  private MonotonicClock() {}

  static long nowMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }

  /** Waits until that moment, not at all if it has passed; returns early if interrupted. */
  static void sleepUntil(long momentMicros) {
    for (long remaining = momentMicros - nowMicros();
        remaining > 0;
        remaining = momentMicros - nowMicros()) {
      LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(remaining));
      if (Thread.currentThread().isInterrupted()) {
        return;
      }
    }
  }

  /** Waits for that long; returns early if interrupted. */
  static void sleepMicros(long micros) {
    sleepUntil(nowMicros() + micros);
  }
}
