package lemondock.exporter;

import java.util.function.DoubleSupplier;

/** Delays between retries: doubled each time up to a maximum, with jitter. Not thread-safe. */
public final class ExponentialBackoff {
  private final Policy policy;
  private long nextMaxDelayMicros;

  /**
   * Bounds of the delays.
   *
   * @param minMicros upper bound of the first delay
   * @param maxMicros upper bound of all delays
   * @param random numbers from 0 to below 1, for the jitter
   */
  public record Policy(long minMicros, long maxMicros, DoubleSupplier random) {
    /** Raises the maximum to the minimum where it lies below. */
    public Policy {
      maxMicros = Math.max(minMicros, maxMicros);
    }
  }

  ExponentialBackoff(Policy policy) {
    this.policy = policy;
    reset();
  }

  /** Starts anew from the shortest delay; for use after a success. */
  void reset() {
    nextMaxDelayMicros = policy.minMicros();
  }

  /** The delay before the next retry: between half and all of the bound reached so far. */
  long nextDelayMicros() {
    long delay = (long) (nextMaxDelayMicros * (0.5 + policy.random().getAsDouble() / 2));
    nextMaxDelayMicros = Math.min(policy.maxMicros(), nextMaxDelayMicros * 2);
    return delay;
  }
}
