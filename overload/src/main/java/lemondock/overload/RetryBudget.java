package lemondock.overload;

/**
 * How many retries are admitted for the new calls that arrive. A client that was rejected comes
 * again, and where each rejection brings back a call the load grows by being rejected; so retries
 * get a budget: a part of the calls that were new, and some a second besides, so that a client of a
 * quiet gateway may always retry (Finagle's RetryBudget, kept at the server: its clients are
 * strangers). Counts decay by half each {@code halfLifeMicros}. No clock, no I/O; one thread.
 */
public final class RetryBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final Settings settings;
  private double newCalls;
  private double retries;
  private long decayedAt = Long.MIN_VALUE;

  /**
   * Parameters.
   *
   * @param retriesPerNewCall retries that each new call pays for
   * @param retriesPerSecond retries a second that need no new call
   * @param halfLifeMicros time in which half of the counts decays
   */
  public record Settings(double retriesPerNewCall, double retriesPerSecond, long halfLifeMicros) {}

  /** Makes one that has counted nothing. */
  public RetryBudget(Settings settings) {
    this.settings = settings;
  }

  /** A call arrived, whether it is admitted or not. */
  public void recordArrival(boolean retry) {
    if (retry) {
      retries++;
    } else {
      newCalls++;
    }
  }

  /** The share of retries that is within the budget now, 0 to 1. */
  public double admittedShare(long nowMicros) {
    if (decayedAt != Long.MIN_VALUE) {
      double decay = Math.pow(0.5, (double) (nowMicros - decayedAt) / settings.halfLifeMicros());
      newCalls *= decay;
      retries *= decay;
    }
    decayedAt = nowMicros;
    // what a steady rate of one a second adds up to under this decay
    double seconds = settings.halfLifeMicros() / MICROS_PER_SECOND / Math.log(2);
    double budget = settings.retriesPerNewCall() * newCalls + settings.retriesPerSecond() * seconds;
    return retries <= budget ? 1 : budget / retries;
  }
}
