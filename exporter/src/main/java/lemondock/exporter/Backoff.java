package lemondock.exporter;

import java.util.function.DoubleSupplier;

/**
 * How long to wait before the next try: doubled each time up to a bound, spread by chance, begun
 * anew after success.
 */
final class Backoff {
  private final long least;
  private final long most;
  private final DoubleSupplier random;
  private long next;

  /** Times in microseconds; {@code random} gives numbers from 0 up to 1. */
  Backoff(long least, long most, DoubleSupplier random) {
    this.least = least;
    this.most = Math.max(least, most);
    this.random = random;
    this.next = least;
  }

  /** The wait before the next try: between half and all of the bound that has grown so far. */
  long wait(boolean again) {
    if (!again) {
      next = least;
    }
    long wait = (long) (next * (0.5 + random.getAsDouble() / 2));
    next = Math.min(most, next * 2);
    return wait;
  }
}
