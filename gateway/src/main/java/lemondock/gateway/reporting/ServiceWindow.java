package lemondock.gateway.reporting;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.metrics.Metrics;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * Worth asked for and answered in time over the last seconds, by class; from snapshots, with time
 * passed in.
 */
final class ServiceWindow {
  private final long span;
  private final ArrayDeque<Sample> looks = new ArrayDeque<>();

  private record Sample(long at, Map<String, long[]> byClass) {}

  /** A window of so many microseconds. */
  ServiceWindow(long span) {
    this.span = span;
  }

  void take(long now, Snapshot snapshot) {
    Map<String, long[]> sums = new LinkedHashMap<>();
    for (Series s : snapshot.series()) {
      if (s.family().equals(Metrics.WORTH)) {
        long[] sum = sums.computeIfAbsent(s.labels().get(0), c -> new long[2]);
        sum[0] += snapshot.values()[s.slot(0)] + snapshot.values()[s.slot(1)];
        sum[1] += snapshot.values()[s.slot(2)];
      }
    }
    looks.add(new Sample(now, sums));
    while (looks.size() > 2 && second().at() <= now - span) {
      looks.poll();
    }
  }

  private Sample second() {
    Iterator<Sample> all = looks.iterator();
    all.next();
    return all.next();
  }

  /** For each class, worth asked for and worth answered in time within the window. */
  Map<String, double[]> service() {
    Map<String, double[]> service = new LinkedHashMap<>();
    if (!looks.isEmpty()) {
      Sample first = looks.peekFirst();
      looks
          .peekLast()
          .byClass()
          .forEach(
              (name, sum) -> {
                long[] before = first.byClass().getOrDefault(name, new long[2]);
                service.put(
                    name,
                    new double[] {
                      (sum[0] - before[0]) / Metrics.WORTH_ONE,
                      (sum[1] - before[1]) / Metrics.WORTH_ONE
                    });
              });
    }
    return service;
  }
}
