package lemondock.anomaly;

/**
 * The share of bad requests over a short and a long window against a budget, both of which must be
 * burnt fast (as in chapter 5 of Google's "The Site Reliability Workbook"). The baseline that
 * {@link Cusum} is weighed against.
 */
public final class BurnRate implements DetectionEvidence {
  private static final int BUCKETS = 64;

  private final Settings settings;
  private final long[] good = new long[BUCKETS];
  private final long[] bad = new long[BUCKETS];
  private final long width;
  private long bucket = Long.MIN_VALUE;
  private boolean fallen;
  private long since;
  private double level;

  /**
   * Figures of a test.
   *
   * @param budget share of bad requests that is allowed
   * @param rate times the budget at which it burns too fast
   * @param least bad requests in the short window below which nothing is told
   * @param shortWindow microseconds
   * @param longWindow microseconds
   * @param hold microseconds that a fall lasts at least
   */
  public record Settings(
      double budget, double rate, long least, long shortWindow, long longWindow, long hold) {
    /** Windows of 3 and 12 seconds, 5 % allowed, told at 5 times that. */
    public static final Settings DEFAULT =
        new Settings(0.05, 5, 3, 3_000_000, 12_000_000, 3_000_000);
  }

  /** Makes a test that has seen nothing. */
  public BurnRate(Settings settings) {
    this.settings = settings;
    this.width = Math.max(1, settings.longWindow() / (BUCKETS - 1));
  }

  @Override
  public void add(long now, long goodNow, long badNow) {
    long to = Math.floorDiv(now, width);
    for (long b = Math.max(bucket + 1, to - BUCKETS + 1); b <= to; b++) {
      good[(int) Math.floorMod(b, (long) BUCKETS)] = 0;
      bad[(int) Math.floorMod(b, (long) BUCKETS)] = 0;
    }
    bucket = to;
    int at = (int) Math.floorMod(to, (long) BUCKETS);
    good[at] += goodNow;
    bad[at] += badNow;
    double burnt = Math.min(burnt(settings.shortWindow()), burnt(settings.longWindow()));
    level = burnt / settings.rate();
    if (!fallen && level >= 1 && count(bad, settings.shortWindow()) >= settings.least()) {
      fallen = true;
      since = now;
    } else if (fallen
        && now - since >= settings.hold()
        && burnt(settings.shortWindow()) < settings.rate() / 2) {
      fallen = false;
    }
  }

  private double burnt(long window) {
    long lost = count(bad, window);
    long all = lost + count(good, window);
    return all == 0 ? 0 : (double) lost / all / settings.budget();
  }

  private long count(long[] of, long window) {
    long sum = 0;
    for (long b = bucket - window / width + 1; b <= bucket; b++) {
      sum += of[(int) Math.floorMod(b, (long) BUCKETS)];
    }
    return sum;
  }

  @Override
  public boolean fallen() {
    return fallen;
  }

  @Override
  public double level() {
    return level;
  }

  @Override
  public double usualLoss() {
    return settings.budget();
  }
}
