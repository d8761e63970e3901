package lemondock.anomaly;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;

/** Finds the scope with the most bad requests, if it clearly does worse than the rest. */
final class OutlierFinder {
  /** Fewer bad requests than this do not make an outlier. */
  private static final long MIN_BAD_REQUESTS = 3;

  /** Least share of all bad requests that an outlier has. */
  private static final double MIN_SHARE_OF_BAD = 0.5;

  /** Least loss ratio of an outlier, as a multiple of the loss ratio of all others together. */
  private static final double MIN_LOSS_FACTOR = 2.0;

  private OutlierFinder() {}

  static Optional<ServiceScope> find(Map<ServiceScope, CounterWindow> windows) {
    if (windows.size() < 2) {
      return Optional.empty();
    }
    return windows.keySet().stream()
        .max(Comparator.comparingLong(scope -> windows.get(scope).bad()))
        .filter(scope -> isOutlier(windows.get(scope), windows));
  }

  private static boolean isOutlier(
      CounterWindow candidate, Map<ServiceScope, CounterWindow> windows) {
    long bad = windows.values().stream().mapToLong(CounterWindow::bad).sum();
    long total = windows.values().stream().mapToLong(CounterWindow::total).sum();
    long restTotal = total - candidate.total();
    double restLossRatio = restTotal == 0 ? 0 : (double) (bad - candidate.bad()) / restTotal;
    return candidate.bad() >= MIN_BAD_REQUESTS
        && candidate.bad() >= MIN_SHARE_OF_BAD * bad
        && candidate.lossRatio() >= MIN_LOSS_FACTOR * restLossRatio;
  }
}
