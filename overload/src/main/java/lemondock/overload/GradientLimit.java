package lemondock.overload;

/**
 * A limit of concurrent calls that adapts to their time to the first token: it shrinks while that
 * time exceeds its long-term average, and otherwise grows by its own square root (the "gradient2"
 * limit of Netflix's concurrency-limits library). It is an alternative to {@link Admission}, kept
 * for comparison: it ignores priorities, and it cannot distinguish slow engines from a slow
 * gateway. Reads no clock and does no I/O. Not thread-safe.
 */
public final class GradientLimit {
  private static final double LONG_TERM_WEIGHT = 1.0 / 600;
  private static final double SHORT_TERM_WEIGHT = 1.0 / 20;
  private static final double LIMIT_WEIGHT = 0.2;
  private static final double MIN_GRADIENT = 0.5;
  private static final double RECOVERY_FACTOR = 0.95;

  private final double minLimit;
  private final double maxLimit;
  private final double tolerance;
  private double limit;
  private double longTermAverageMicros;
  private double shortTermAverageMicros;

  /**
   * Creates a limit.
   *
   * @param minLimit lower bound of the limit
   * @param initialLimit limit at the start
   * @param maxLimit upper bound of the limit
   * @param tolerance multiple of the long-term average that is still acceptable
   */
  public GradientLimit(int minLimit, int initialLimit, int maxLimit, double tolerance) {
    this.minLimit = minLimit;
    this.limit = initialLimit;
    this.maxLimit = maxLimit;
    this.tolerance = tolerance;
  }

  /**
   * Records the time to the first token of a call.
   *
   * @param micros time to the first token
   * @param inFlight number of calls in flight at that time
   */
  public void recordFirstToken(long micros, int inFlight) {
    longTermAverageMicros +=
        longTermAverageMicros == 0 ? micros : (micros - longTermAverageMicros) * LONG_TERM_WEIGHT;
    shortTermAverageMicros +=
        shortTermAverageMicros == 0
            ? micros
            : (micros - shortTermAverageMicros) * SHORT_TERM_WEIGHT;
    if (longTermAverageMicros / shortTermAverageMicros > 2) {
      // the long-term average of an overload must not apply after the overload has ended
      longTermAverageMicros *= RECOVERY_FACTOR;
    }
    if (inFlight < limit / 2) {
      return; // with so few calls in flight, the limit does not affect the time
    }
    double gradient =
        Math.max(
            MIN_GRADIENT, Math.min(1, tolerance * longTermAverageMicros / shortTermAverageMicros));
    double targetLimit = limit * gradient + Math.sqrt(limit);
    limit = Math.max(minLimit, Math.min(maxLimit, limit + (targetLimit - limit) * LIMIT_WEIGHT));
  }

  /** Maximum number of calls in flight. */
  public int limit() {
    return (int) limit;
  }
}
