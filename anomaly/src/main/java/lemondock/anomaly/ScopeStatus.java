package lemondock.anomaly;

/**
 * The state of one scope.
 *
 * @param scope the class and zone, or all classes of a zone
 * @param isDegraded whether the service of the scope counts as degraded
 * @param evidence see {@link ChangeDetector#evidence}
 * @param lossRatio share of bad requests over the last seconds, 0 to 1
 * @param requestCount good and bad requests over the last seconds
 * @param degradationCount degradations that have started so far
 */
public record ScopeStatus(
    ServiceScope scope,
    boolean isDegraded,
    double evidence,
    double lossRatio,
    long requestCount,
    long degradationCount) {}
