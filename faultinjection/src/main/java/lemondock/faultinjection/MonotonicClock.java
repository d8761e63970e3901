package lemondock.faultinjection;

import java.util.concurrent.locks.LockSupport;

/** Monotonic time in microseconds, the one clock of a run. */
final class MonotonicClock {
  static final long MILLI = 1_000;
  static final long SECOND = 1_000_000;
  private static final long NANOS = 1_000;

  private MonotonicClock() {}

  static long now() {
    return System.nanoTime() / NANOS;
  }

  /** Waits until that moment, not at all if it has passed. */
  static void sleepUntil(long at) {
    for (long left = at - now(); left > 0; left = at - now()) {
      LockSupport.parkNanos(left * NANOS);
      if (Thread.currentThread().isInterrupted()) {
        return;
      }
    }
  }

  static void sleep(long micros) {
    sleepUntil(now() + micros);
  }
}
