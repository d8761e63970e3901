package lemondock.gateway.reporting;

import java.util.ArrayList;
import java.util.List;
import lemondock.anomaly.EventCounts;
import lemondock.anomaly.ServiceScope;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/** Extracts from a metrics snapshot the event counts that the degradation detector observes. */
final class DetectorInput {
  // Fields of MetricFamilies.SERVICE_LEVEL.
  private static final int GOOD = 0;
  private static final int BAD = 1;

  private DetectorInput() {}

  /**
   * Requests by class and zone. Good are those whose first token was in time (the whole answer, if
   * it has no text), bad those that missed an objective, failed or were rejected. A request counts
   * as both if it failed or missed the pace after a timely first token, and as neither if it was
   * cancelled without a token before the first one was due.
   */
  static List<EventCounts> requests(MetricsSnapshot snapshot) {
    List<EventCounts> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.SERVICE_LEVEL)) {
        counts.add(
            new EventCounts(
                scope(series),
                snapshot.values()[series.slot(GOOD)],
                snapshot.values()[series.slot(BAD)]));
      }
    }
    return counts;
  }

  /** The scope of a series whose labels are a class or role, followed by a zone. */
  private static ServiceScope scope(Series series) {
    return new ServiceScope(series.labelValues().get(0), series.labelValues().get(1));
  }

  /**
   * Attempts by role and zone; good are those answered, bad those that failed, were rejected or
   * were cancelled.
   */
  static List<EventCounts> attempts(MetricsSnapshot snapshot) {
    int okField = MetricFamilies.ATTEMPTS.fieldIndex("ok");
    int readField = MetricFamilies.ATTEMPTS.fieldIndex("read");
    int lastBadField = MetricFamilies.ATTEMPTS.fieldIndex("cancelled");
    List<EventCounts> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.ATTEMPTS)) {
        long bad = 0;
        for (int i = readField + 1; i <= lastBadField; i++) {
          bad += snapshot.values()[series.slot(i)];
        }
        counts.add(
            new EventCounts(
                scope(series),
                snapshot.values()[series.slot(okField)] + snapshot.values()[series.slot(readField)],
                bad));
      }
    }
    return counts;
  }
}
