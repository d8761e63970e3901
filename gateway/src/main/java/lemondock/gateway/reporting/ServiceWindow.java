package lemondock.gateway.reporting;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * Priority weight requested and answered in time over the last seconds, by class; from snapshots,
 * with time passed in. One thread.
 */
final class ServiceWindow {
  private final long spanMicros;
  private final ArrayDeque<Sample> samples = new ArrayDeque<>();

  private record Sample(long atMicros, Map<String, long[]> byClass) {}

  /** A window of so many microseconds. */
  ServiceWindow(long span) {
    this.spanMicros = span;
  }

  void add(long nowMicros, MetricsSnapshot snapshot) {
    Map<String, long[]> sums = new LinkedHashMap<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.PRIORITY_WEIGHT)) {
        long[] sum = sums.computeIfAbsent(series.labelValues().get(0), c -> new long[2]);
        sum[0] += snapshot.values()[series.slot(0)] + snapshot.values()[series.slot(1)];
        sum[1] += snapshot.values()[series.slot(2)];
      }
    }
    samples.add(new Sample(nowMicros, sums));
    while (samples.size() > 2 && secondSample().atMicros() <= nowMicros - spanMicros) {
      samples.poll();
    }
  }

  private Sample secondSample() {
    Iterator<Sample> all = samples.iterator();
    all.next();
    return all.next();
  }

  /** Priority weight of a class's requests, and the part of it answered in time. */
  record Service(double requested, double inTime) {}

  /** For each class, what was requested and what was answered in time within the window. */
  Map<String, Service> serviceByClass() {
    Map<String, Service> services = new LinkedHashMap<>();
    if (!samples.isEmpty()) {
      Sample first = samples.peekFirst();
      samples
          .peekLast()
          .byClass()
          .forEach(
              (name, sum) -> {
                long[] before = first.byClass().getOrDefault(name, new long[2]);
                services.put(
                    name,
                    new Service(
                        (sum[0] - before[0]) / MetricFamilies.PRIORITY_WEIGHT_SCALE,
                        (sum[1] - before[1]) / MetricFamilies.PRIORITY_WEIGHT_SCALE));
              });
    }
    return services;
  }
}
