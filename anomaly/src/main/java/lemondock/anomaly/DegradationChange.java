package lemondock.anomaly;

import java.util.Locale;

/**
 * The start or the end of a degradation.
 *
 * @param isStart whether service has degraded; otherwise it has recovered
 * @param lossRatio share of bad requests over the last seconds
 * @param baselineLossRatio share of bad requests that counts as usual
 * @param outliers classes and servers that do clearly worse than the rest, in words; empty if there
 *     are none
 */
public record DegradationChange(
    ServiceScope scope,
    boolean isStart,
    double lossRatio,
    double baselineLossRatio,
    String outliers) {
  /** One line for operators. */
  public String message() {
    String scopeName = scope.name().equals(DegradationDetector.ALL) ? "all classes" : scope.name();
    String where = scopeName + " in " + scope.zone();
    return isStart
        ? String.format(
            Locale.ROOT,
            "service falls: %s loses %.0f %% of its requests, usual are %.0f %%%s",
            where,
            100 * lossRatio,
            100 * baselineLossRatio,
            outliers.isEmpty() ? "" : "; " + outliers)
        : String.format(
            Locale.ROOT,
            "service is back: %s loses %.0f %% of its requests",
            where,
            100 * lossRatio);
  }
}
