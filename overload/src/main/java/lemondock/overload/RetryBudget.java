package lemondock.overload;

/**
 * Limits the retries that are admitted. Rejected clients retry, and if each rejection leads to a
 * retry, rejecting calls increases the load. Therefore retries have a budget: a fraction of the new
 * calls, plus a fixed rate per second, so that the clients of a gateway with little traffic can
 * always retry. This is Finagle's RetryBudget, but kept by the server, because its clients are not
 * under its control. Counts decay by half every {@code halfLifeMicros}. Reads no clock and does no
 * I/O. Not thread-safe.
 */
public final class RetryBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;
  private double newCalls;
  private double retries;
  private long decayedAtMicros = Long.MIN_VALUE;

  /**
   * Parameters of the retry budget.
   *
   * @param retriesPerNewCall retries that each new call adds to the budget
   * @param retriesPerSecond retries per second that are admitted in addition, even without new
   *     calls
   * @param halfLifeMicros half-life of the counts
   */
  public record Settings(double retriesPerNewCall, double retriesPerSecond, long halfLifeMicros) {}

  /** Creates a budget that has counted nothing. */
  public RetryBudget(Settings settings) {
    this.settings = settings;
  }

  /** Records the arrival of a call, whether it is admitted or not. */
  public void recordArrival(boolean isRetry) {
    if (isRetry) {
      retries++;
    } else {
      newCalls++;
    }
  }

  /** Decays the counts and returns the share of retries that is within the budget, 0 to 1. */
  public double admittedShare(long nowMicros) {
    if (decayedAtMicros != Long.MIN_VALUE) {
      double decay =
          Math.pow(0.5, (double) (nowMicros - decayedAtMicros) / settings.halfLifeMicros());
      newCalls *= decay;
      retries *= decay;
    }
    decayedAtMicros = nowMicros;
    // At a steady rate of one event per second, a decaying count converges to this number.
    double effectiveSeconds = settings.halfLifeMicros() / MICROS_PER_SECOND / Math.log(2);
    double budget =
        settings.retriesPerNewCall() * newCalls + settings.retriesPerSecond() * effectiveSeconds;
    return retries <= budget ? 1 : budget / retries;
  }
}
