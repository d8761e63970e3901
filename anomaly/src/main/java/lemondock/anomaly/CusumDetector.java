package lemondock.anomaly;

/**
 * Page's CUSUM control chart for the share of bad requests (E. S. Page, "Continuous inspection
 * schemes", Biometrika 41, 1954). Each request adds the logarithm of how much likelier it is if
 * service is degraded than if it is as usual, and the sum never falls below zero. It needs no
 * window, so that it raises an alarm at small counts as soon as they are beyond chance, and one
 * threshold sets its rate of false alarms: about one in e^threshold requests at the usual loss, or
 * fewer. Not thread-safe.
 */
public final class CusumDetector implements ChangeDetector {
  /** Keeps the logarithms finite. */
  private static final double MAX_DEGRADED_LOSS = 0.95;

  private final Options options;
  private double learntLossRatio;
  private double degradationEvidence;
  private double recoveryEvidence;
  private boolean isDegraded;
  private long degradedSinceMicros;
  private long lastRequestMicros;
  private boolean hasObserved;

  /**
   * Parameters of a chart. Ratios are shares of bad requests; evidence is the natural logarithm of
   * likelihood ratios.
   *
   * @param minBaselineLoss ratio that counts as usual however good service was
   * @param maxBaselineLoss ratio that is never usual however long it lasts
   * @param minDegradedLoss ratio at least that service is tested for
   * @param degradedLossFactor the same as a multiple of the usual ratio; the larger one counts
   * @param alarmThreshold evidence at which service counts as degraded
   * @param clearThreshold evidence of the contrary at which it no longer does
   * @param minDurationMicros shortest duration of a degradation
   * @param idleTimeoutMicros time without requests after which a degradation ends
   * @param learningRequests number of requests over which the usual ratio is averaged; nothing is
   *     learnt during a degradation
   */
  public record Options(
      double minBaselineLoss,
      double maxBaselineLoss,
      double minDegradedLoss,
      double degradedLossFactor,
      double alarmThreshold,
      double clearThreshold,
      long minDurationMicros,
      long idleTimeoutMicros,
      double learningRequests) {
    /** The parameters that measurements with fault scenarios led to (docs/PERFORMANCE.md). */
    public static final Options DEFAULT =
        new Options(0.03, 0.25, 0.25, 3, 12, 6, 3_000_000, 30_000_000, 2_000);

    /** The same with another threshold for an alarm. */
    public Options withAlarmThreshold(double threshold) {
      return new Options(
          minBaselineLoss,
          maxBaselineLoss,
          minDegradedLoss,
          degradedLossFactor,
          threshold,
          clearThreshold,
          minDurationMicros,
          idleTimeoutMicros,
          learningRequests);
    }
  }

  /** Makes a detector that has observed nothing. */
  public CusumDetector(Options options) {
    this.options = options;
    this.learntLossRatio = options.minBaselineLoss();
  }

  @Override
  public void observe(long nowMicros, long good, long bad) {
    if (!hasObserved || good + bad > 0) {
      lastRequestMicros = nowMicros;
      hasObserved = true;
    }
    double logLikelihoodRatio = logLikelihoodRatio(good, bad);
    if (isDegraded) {
      observeDegraded(nowMicros, logLikelihoodRatio);
    } else {
      observeUsual(nowMicros, logLikelihoodRatio, good, bad);
    }
  }

  /** Logarithm of how much likelier the counts are if service is degraded. */
  private double logLikelihoodRatio(long good, long bad) {
    double usual = baselineLossRatio();
    double degraded =
        Math.min(
            MAX_DEGRADED_LOSS,
            Math.max(options.minDegradedLoss(), usual * options.degradedLossFactor()));
    return bad * Math.log(degraded / usual) + good * Math.log((1 - degraded) / (1 - usual));
  }

  private void observeDegraded(long nowMicros, double logLikelihoodRatio) {
    recoveryEvidence = Math.max(0, recoveryEvidence - logLikelihoodRatio);
    boolean hasRecovered =
        nowMicros - degradedSinceMicros >= options.minDurationMicros()
            && recoveryEvidence >= options.clearThreshold();
    boolean isIdle = nowMicros - lastRequestMicros >= options.idleTimeoutMicros();
    if (hasRecovered || isIdle) {
      isDegraded = false;
      degradationEvidence = 0;
    }
  }

  private void observeUsual(long nowMicros, double logLikelihoodRatio, long good, long bad) {
    degradationEvidence = Math.max(0, degradationEvidence + logLikelihoodRatio);
    if (degradationEvidence >= options.alarmThreshold()) {
      isDegraded = true;
      degradedSinceMicros = nowMicros;
      recoveryEvidence = 0;
    } else if (good + bad > 0) {
      learnLossRatio(good, bad);
    }
  }

  private void learnLossRatio(long good, long bad) {
    double weight = 1 - Math.exp(-(good + bad) / options.learningRequests());
    learntLossRatio += weight * ((double) bad / (good + bad) - learntLossRatio);
  }

  @Override
  public boolean isDegraded() {
    return isDegraded;
  }

  @Override
  public double evidence() {
    return isDegraded
        ? 1 + Math.max(0, 1 - recoveryEvidence / options.clearThreshold())
        : degradationEvidence / options.alarmThreshold();
  }

  @Override
  public double baselineLossRatio() {
    return Math.min(
        options.maxBaselineLoss(), Math.max(options.minBaselineLoss(), learntLossRatio));
  }
}
