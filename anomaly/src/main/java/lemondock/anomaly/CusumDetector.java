package lemondock.anomaly;

/**
 * Page's CUSUM control chart for the share of bad requests (E. S. Page, "Continuous inspection
 * schemes", Biometrika 41, 1954). For each request the chart adds the log-likelihood ratio of its
 * result under degraded service against the baseline, and the sum never falls below zero. The chart
 * needs no window, so that it raises an alarm even after few requests, as soon as chance no longer
 * explains the bad ones. A single threshold sets the rate of false alarms: at the baseline loss
 * ratio, at most about one in e^threshold requests. Not thread-safe.
 */
public final class CusumDetector implements ChangeDetector {
  /** Upper bound of the tested loss ratio, below 1 so that the logarithms stay finite. */
  private static final double MAX_DEGRADED_LOSS = 0.95;

  private final Options options;
  private double learnedLossRatio;
  private double degradationEvidence;
  private double recoveryEvidence;
  private boolean isDegraded;
  private long degradedSinceMicros;
  private long lastRequestMicros;
  private boolean hasObserved;

  /**
   * Parameters of a chart. Losses are shares of bad requests, 0 to 1; evidence is the natural
   * logarithm of a likelihood ratio.
   *
   * @param minBaselineLoss lower bound of the baseline, however good service has been
   * @param maxBaselineLoss upper bound of the baseline, however long a higher loss lasts
   * @param minDegradedLoss lower bound of the loss ratio of degraded service that the chart tests
   *     for
   * @param degradedLossFactor loss ratio of degraded service as a multiple of the baseline; the
   *     larger of this and {@code minDegradedLoss} applies
   * @param alarmThreshold evidence of a degradation at which service counts as degraded
   * @param clearThreshold evidence of recovery at which service no longer counts as degraded
   * @param minDurationMicros shortest duration of a degradation
   * @param idleTimeoutMicros time without requests after which a degradation ends
   * @param learningRequests number of requests over which the baseline is averaged; the baseline is
   *     not updated during a degradation
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
    /** Defaults, derived from measurements with fault scenarios (docs/PERFORMANCE.md). */
    public static final Options DEFAULT =
        new Options(0.03, 0.25, 0.25, 3, 12, 6, 3_000_000, 30_000_000, 2_000);

    /** Returns the same parameters with another alarm threshold. */
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

  /** Creates a detector that has observed nothing. */
  public CusumDetector(Options options) {
    this.options = options;
    this.learnedLossRatio = options.minBaselineLoss();
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
      observeNormal(nowMicros, logLikelihoodRatio, good, bad);
    }
  }

  /** Returns the log-likelihood ratio of the counts, degraded service against the baseline. */
  private double logLikelihoodRatio(long good, long bad) {
    double baselineLoss = baselineLossRatio();
    double degradedLoss =
        Math.min(
            MAX_DEGRADED_LOSS,
            Math.max(options.minDegradedLoss(), baselineLoss * options.degradedLossFactor()));
    return bad * Math.log(degradedLoss / baselineLoss)
        + good * Math.log((1 - degradedLoss) / (1 - baselineLoss));
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

  private void observeNormal(long nowMicros, double logLikelihoodRatio, long good, long bad) {
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
    learnedLossRatio += weight * ((double) bad / (good + bad) - learnedLossRatio);
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
        options.maxBaselineLoss(), Math.max(options.minBaselineLoss(), learnedLossRatio));
  }
}
