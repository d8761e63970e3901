package lemondock.anomaly;

/**
 * Multi-window burn rate of an error budget (chapter 5 of Google's "The Site Reliability
 * Workbook"): service starts to count as degraded when the burn rate is too high over both a short
 * and a long window. Benchmarks compare {@link CusumDetector} with it. Not thread-safe.
 */
public final class BurnRateDetector implements ChangeDetector {
  private static final int BUCKETS = 64;

  private final Options options;
  private final WindowedCounts counts;
  private boolean isDegraded;
  private long degradedSinceMicros;
  private double evidence;

  /**
   * Parameters of a detector.
   *
   * @param errorBudget share of bad requests that is allowed, 0 to 1
   * @param maxBurnRate lowest burn rate that is too high, as a multiple of the error budget
   * @param minBadRequests least number of bad requests in the short window for an alarm
   * @param shortWindowMicros length of the short window
   * @param longWindowMicros length of the long window
   * @param minDurationMicros shortest duration of a degradation
   */
  public record Options(
      double errorBudget,
      double maxBurnRate,
      long minBadRequests,
      long shortWindowMicros,
      long longWindowMicros,
      long minDurationMicros) {
    /** Windows of 3 and 12 seconds; an alarm at 5 times the budget of 5 %. */
    public static final Options DEFAULT = new Options(0.05, 5, 3, 3_000_000, 12_000_000, 3_000_000);
  }

  /** Creates a detector that has observed nothing. */
  public BurnRateDetector(Options options) {
    this.options = options;
    long bucketMicros = Math.max(1, options.longWindowMicros() / (BUCKETS - 1));
    this.counts = new WindowedCounts(bucketMicros, BUCKETS);
  }

  @Override
  public void observe(long nowMicros, long good, long bad) {
    counts.add(nowMicros, good, bad);
    double shortBurnRate = burnRate(options.shortWindowMicros());
    double longBurnRate = burnRate(options.longWindowMicros());
    evidence = Math.min(shortBurnRate, longBurnRate) / options.maxBurnRate();
    if (!isDegraded) {
      if (evidence >= 1 && counts.bad(options.shortWindowMicros()) >= options.minBadRequests()) {
        isDegraded = true;
        degradedSinceMicros = nowMicros;
      }
    } else if (nowMicros - degradedSinceMicros >= options.minDurationMicros()
        && shortBurnRate < options.maxBurnRate() / 2) {
      isDegraded = false;
    }
  }

  /** Returns the loss ratio over a window as a multiple of the error budget. */
  private double burnRate(long windowMicros) {
    long total = counts.total(windowMicros);
    return total == 0 ? 0 : (double) counts.bad(windowMicros) / total / options.errorBudget();
  }

  @Override
  public boolean isDegraded() {
    return isDegraded;
  }

  @Override
  public double evidence() {
    return evidence;
  }

  @Override
  public double baselineLossRatio() {
    return options.errorBudget();
  }
}
