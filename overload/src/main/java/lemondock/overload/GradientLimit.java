package lemondock.overload;

/**
 * A bound on calls at a time that follows their time to the first token: it shrinks as that time
 * grows over what it was for long, and grows by the root of itself while it does not (the
 * "gradient2" limit of Netflix's concurrency-limits library). Weighed against {@link Admission} and
 * kept to be measured beside it: it knows nothing of worth, and it takes engines that are slow for
 * a gateway that is. No clock, no I/O; one thread.
 */
public final class GradientLimit {
  private static final double LONG_WEIGHT = 1.0 / 600;
  private static final double SHORT_WEIGHT = 1.0 / 20;
  private static final double LIMIT_WEIGHT = 0.2;
  private static final double LEAST_GRADIENT = 0.5;
  private static final double DRIFT = 0.95;

  private final double least;
  private final double most;
  private final double tolerance;
  private double limit;
  private double usual;
  private double lately;

  /**
   * Makes one.
   *
   * @param first bound at the start
   * @param tolerance how many times the usual time is still good
   */
  public GradientLimit(int least, int first, int most, double tolerance) {
    this.least = least;
    this.limit = first;
    this.most = most;
    this.tolerance = tolerance;
  }

  /** A call had its first token after so many microseconds, with so many calls under way. */
  public void sample(long micros, int underWay) {
    usual += usual == 0 ? micros : (micros - usual) * LONG_WEIGHT;
    lately += lately == 0 ? micros : (micros - lately) * SHORT_WEIGHT;
    if (usual / lately > 2) {
      usual *= DRIFT; // what was usual under overload is no measure once it is over
    }
    if (underWay < limit / 2) {
      return; // the bound was not what kept the time short
    }
    double gradient = Math.max(LEAST_GRADIENT, Math.min(1, tolerance * usual / lately));
    double wanted = limit * gradient + Math.sqrt(limit);
    limit = Math.max(least, Math.min(most, limit + (wanted - limit) * LIMIT_WEIGHT));
  }

  /** Calls that may be under way. */
  public int limit() {
    return (int) limit;
  }
}
