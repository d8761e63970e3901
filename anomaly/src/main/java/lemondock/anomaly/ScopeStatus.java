package lemondock.anomaly;

/**
 * The state of one scope.
 *
 * @param isDegraded whether its service counts as degraded
 * @param evidence see {@link ChangeDetector#evidence}
 * @param lossRatio share of bad requests over the last seconds
 * @param requestCount requests over the last seconds
 * @param degradationCount degradations that have started so far
 */
public record ScopeStatus(
    ServiceScope scope,
    boolean isDegraded,
    double evidence,
    double lossRatio,
    long requestCount,
    long degradationCount) {}
