package lemondock.exporter;

import java.util.function.DoubleSupplier;

/** Exponential backoff between retries, with a maximum and jitter. Not thread-safe. */
public final class ExponentialBackoff {
  private final Policy policy;
  private long nextMaxDelayMicros;

  /**
   * Bounds of the delays.
   *
   * @param minMicros upper bound of the first delay, in microseconds
   * @param maxMicros upper bound of all delays, in microseconds
   * @param random source of numbers in [0, 1) for the jitter
   */
  public record Policy(long minMicros, long maxMicros, DoubleSupplier random) {
    /** Raises the maximum to the minimum if it is lower. */
    public Policy {
      maxMicros = Math.max(minMicros, maxMicros);
    }
  }

  ExponentialBackoff(Policy policy) {
    this.policy = policy;
    reset();
  }

  /** Restarts from the shortest delay; to be called after a success. */
  void reset() {
    nextMaxDelayMicros = policy.minMicros();
  }

  /**
   * The delay before the next retry: between half the current upper bound and all of it. Doubles
   * the bound up to the maximum.
   */
  long nextDelayMicros() {
    long delay = (long) (nextMaxDelayMicros * (0.5 + policy.random().getAsDouble() / 2));
    nextMaxDelayMicros = Math.min(policy.maxMicros(), nextMaxDelayMicros * 2);
    return delay;
  }
}
