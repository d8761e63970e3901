package lemondock.gateway.reporting;

import java.util.ArrayList;
import java.util.List;
import lemondock.anomaly.DegradationDetector;
import lemondock.metrics.Metrics;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/** Takes from a snapshot what the detector of degradations watches. */
final class DetectorInput {
  private DetectorInput() {}

  /** Requests by class and zone: those in time against those that were not. */
  static List<DegradationDetector.Count> verdicts(Snapshot snapshot) {
    List<DegradationDetector.Count> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(Metrics.VERDICTS)) {
        counts.add(
            new DegradationDetector.Count(
                new DegradationDetector.Key(series.labels().get(0), series.labels().get(1)),
                snapshot.values()[series.slot(0)],
                snapshot.values()[series.slot(1)]));
      }
    }
    return counts;
  }

  /**
   * Attempts by role and zone: answered ones against those that failed, were rejected or cancelled.
   */
  static List<DegradationDetector.Count> attempts(Snapshot snapshot) {
    int okField = Metrics.ATTEMPTS.index("ok");
    int readField = Metrics.ATTEMPTS.index("read");
    int lastBadField = Metrics.ATTEMPTS.index("cancelled");
    List<DegradationDetector.Count> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(Metrics.ATTEMPTS)) {
        long bad = 0;
        for (int i = readField + 1; i <= lastBadField; i++) {
          bad += snapshot.values()[series.slot(i)];
        }
        counts.add(
            new DegradationDetector.Count(
                new DegradationDetector.Key(series.labels().get(0), series.labels().get(1)),
                snapshot.values()[series.slot(okField)] + snapshot.values()[series.slot(readField)],
                bad));
      }
    }
    return counts;
  }
}
