package lemondock.anomaly;

/**
 * Page's cumulative sum for a share of bad requests (E. S. Page, "Continuous inspection schemes",
 * Biometrika 41, 1954): each request adds the logarithm of how much likelier it is if service has
 * fallen than if it is as usual, and the sum never falls below zero. It needs no window, so it
 * tells at small counts as soon as they are beyond chance, and its rate of false alarms is set by
 * one threshold: about one in e^threshold requests at the usual loss, or fewer.
 */
public final class Cusum implements DetectionEvidence {
  private final Settings settings;
  private double usual;
  private double sum;
  private double recovery;
  private boolean fallen;
  private long since;
  private long heard;
  private boolean begun;

  /**
   * Figures of a test.
   *
   * @param leastUsual share of bad requests taken for usual however good service was
   * @param mostUsual share that is never taken for usual however long it lasts
   * @param fall share that counts as fallen, at least; {@code times} the usual one if that is more
   * @param times see {@code fall}
   * @param threshold evidence (natural logarithm of the odds) that tells of a fall
   * @param clear evidence that ends it
   * @param hold microseconds that a fall lasts at least
   * @param quiet microseconds without requests after which a fall is over: nobody is served badly
   * @param memory requests over which the usual loss is learnt; none are learnt from while fallen
   */
  public record Settings(
      double leastUsual,
      double mostUsual,
      double fall,
      double times,
      double threshold,
      double clear,
      long hold,
      long quiet,
      double memory) {
    /** The figures that the measurement on bad days led to (docs/PERFORMANCE.md). */
    public static final Settings DEFAULT =
        new Settings(0.03, 0.25, 0.25, 3, 12, 6, 3_000_000, 30_000_000, 2_000);
  }

  /** Makes a test that has seen nothing. */
  public Cusum(Settings settings) {
    this.settings = settings;
    this.usual = settings.leastUsual();
  }

  @Override
  public void add(long now, long good, long bad) {
    if (!begun || good + bad > 0) {
      heard = now;
      begun = true;
    }
    double before = usualLoss();
    double after = Math.min(0.95, Math.max(settings.fall(), before * settings.times()));
    double gain = bad * Math.log(after / before) + good * Math.log((1 - after) / (1 - before));
    if (fallen) {
      recovery = Math.max(0, recovery - gain);
      boolean over = now - since >= settings.hold() && recovery >= settings.clear();
      if (over || now - heard >= settings.quiet()) {
        fallen = false;
        sum = 0;
      }
      return;
    }
    sum = Math.max(0, sum + gain);
    if (sum >= settings.threshold()) {
      fallen = true;
      since = now;
      recovery = 0;
    } else if (good + bad > 0) {
      double share = 1 - Math.exp(-(good + bad) / settings.memory());
      usual += share * ((double) bad / (good + bad) - usual);
    }
  }

  @Override
  public boolean fallen() {
    return fallen;
  }

  @Override
  public double level() {
    return fallen ? 1 + Math.max(0, 1 - recovery / settings.clear()) : sum / settings.threshold();
  }

  @Override
  public double usualLoss() {
    return Math.min(settings.mostUsual(), Math.max(settings.leastUsual(), usual));
  }
}
