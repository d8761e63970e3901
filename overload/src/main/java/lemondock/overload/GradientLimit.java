package lemondock.overload;

/**
 * A limit of concurrent calls that follows their time to the first token: it shrinks as that time
 * grows over its long-term average, and grows by its own square root while it does not (the
 * "gradient2" limit of Netflix's concurrency-limits library). Weighed against {@link Admission} and
 * kept to be measured beside it: it knows nothing of priorities, and it takes slow engines for a
 * slow gateway. No clock, no I/O; one thread.
 */
public final class GradientLimit {
  private static final double LONG_TERM_WEIGHT = 1.0 / 600;
  private static final double SHORT_TERM_WEIGHT = 1.0 / 20;
  private static final double LIMIT_WEIGHT = 0.2;
  private static final double MIN_GRADIENT = 0.5;
  private static final double RECOVERY_FACTOR = 0.95;

  private final double min;
  private final double max;
  private final double tolerance;
  private double limit;
  private double longTermMicros;
  private double shortTermMicros;

  /**
   * Makes one.
   *
   * @param initial limit at the start
   * @param tolerance how many times the long-term time is still good
   */
  public GradientLimit(int min, int initial, int max, double tolerance) {
    this.min = min;
    this.limit = initial;
    this.max = max;
    this.tolerance = tolerance;
  }

  /** A call had its first token after so many microseconds, with so many calls in flight. */
  public void recordFirstToken(long micros, int inFlight) {
    longTermMicros += longTermMicros == 0 ? micros : (micros - longTermMicros) * LONG_TERM_WEIGHT;
    shortTermMicros +=
        shortTermMicros == 0 ? micros : (micros - shortTermMicros) * SHORT_TERM_WEIGHT;
    if (longTermMicros / shortTermMicros > 2) {
      // the average of an overload is no measure once the overload is over
      longTermMicros *= RECOVERY_FACTOR;
    }
    if (inFlight < limit / 2) {
      return; // the limit was not what kept the time short
    }
    double gradient =
        Math.max(MIN_GRADIENT, Math.min(1, tolerance * longTermMicros / shortTermMicros));
    double wanted = limit * gradient + Math.sqrt(limit);
    limit = Math.max(min, Math.min(max, limit + (wanted - limit) * LIMIT_WEIGHT));
  }

  /** Calls that may be in flight. */
  public int limit() {
    return (int) limit;
  }
}
