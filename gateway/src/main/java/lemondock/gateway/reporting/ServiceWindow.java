package lemondock.gateway.reporting;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * Priority weight requested and answered in time over the last seconds, by class. It is computed
 * from snapshots, with the time passed in. Reporting loop only.
 */
final class ServiceWindow {
  // Fields of MetricFamilies.PRIORITY_WEIGHT.
  private static final int REQUESTED_FIELD = 0;
  private static final int RETRIED_FIELD = 1;
  private static final int IN_TIME_FIELD = 2;

  private final long spanMicros;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  /** Sums since the start of the process, at one time. */
  private record Sample(long atMicros, Map<String, Weights> byClass) {}

  /** Priority weights in the scaled unit of the metrics. */
  private record Weights(long requested, long inTime) {
    static final Weights NONE = new Weights(0, 0);

    Weights plus(Weights other) {
      return new Weights(requested + other.requested, inTime + other.inTime);
    }

    ServiceLevel since(Weights before) {
      return new ServiceLevel(
          (requested - before.requested) / MetricFamilies.PRIORITY_WEIGHT_SCALE,
          (inTime - before.inTime) / MetricFamilies.PRIORITY_WEIGHT_SCALE);
    }
  }

  ServiceWindow(long spanMicros) {
    this.spanMicros = spanMicros;
  }

  /** Adds a snapshot and drops samples from before the window. */
  void add(long nowMicros, MetricsSnapshot snapshot) {
    Map<String, Weights> sums = new LinkedHashMap<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.PRIORITY_WEIGHT)) {
        String requestClass = series.labelValues().get(0);
        sums.merge(requestClass, weights(series, snapshot.values()), Weights::plus);
      }
    }
    samples.add(new Sample(nowMicros, sums));
    while (samples.size() > 2 && secondSample().atMicros() <= nowMicros - spanMicros) {
      samples.poll();
    }
  }

  private static Weights weights(Series series, long[] values) {
    return new Weights(
        values[series.slot(REQUESTED_FIELD)] + values[series.slot(RETRIED_FIELD)],
        values[series.slot(IN_TIME_FIELD)]);
  }

  private Sample secondSample() {
    Iterator<Sample> iterator = samples.iterator();
    iterator.next();
    return iterator.next();
  }

  /** Priority weight of a class's requests, and the part of it that was answered in time. */
  record ServiceLevel(double requested, double inTime) {}

  /** The service level of each class within the window. */
  Map<String, ServiceLevel> serviceLevelByClass() {
    Map<String, ServiceLevel> serviceLevels = new LinkedHashMap<>();
    if (!samples.isEmpty()) {
      Map<String, Weights> before = samples.getFirst().byClass();
      samples
          .getLast()
          .byClass()
          .forEach(
              (name, sums) ->
                  serviceLevels.put(name, sums.since(before.getOrDefault(name, Weights.NONE))));
    }
    return serviceLevels;
  }
}
