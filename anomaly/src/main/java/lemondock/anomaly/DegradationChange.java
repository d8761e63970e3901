package lemondock.anomaly;

import java.util.Locale;

/**
 * The start or the end of a degradation.
 *
 * @param scope the class and zone, or all classes of a zone, whose service has changed
 * @param isStart whether service has degraded; otherwise it has recovered
 * @param lossRatio share of bad requests over the last seconds, 0 to 1
 * @param baselineLossRatio share of bad requests that counts as normal, 0 to 1
 * @param outliers description of the classes and servers that do clearly worse than the rest; empty
 *     if there are none
 */
public record DegradationChange(
    ServiceScope scope,
    boolean isStart,
    double lossRatio,
    double baselineLossRatio,
    String outliers) {
  /** Describes the change in one line for operators; logged and sent as a notification. */
  public String message() {
    String scopeName = scope.name().equals(DegradationDetector.ALL) ? "all classes" : scope.name();
    String scopeDescription = scopeName + " in " + scope.zone();
    return isStart
        ? String.format(
            Locale.ROOT,
            "service falls: %s loses %.0f %% of its requests, usual are %.0f %%%s",
            scopeDescription,
            100 * lossRatio,
            100 * baselineLossRatio,
            outliers.isEmpty() ? "" : "; " + outliers)
        : String.format(
            Locale.ROOT,
            "service is back: %s loses %.0f %% of its requests",
            scopeDescription,
            100 * lossRatio);
  }
}
