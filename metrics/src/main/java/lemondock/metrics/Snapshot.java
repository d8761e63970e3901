package lemondock.metrics;

import java.util.List;

/**
 * All values at one moment. {@code values[s.slot(f)]} is field f of series s; a histogram's
 * percentiles tell of the time since the snapshot before, all else of the process's life.
 *
 * @param series those that existed at the moment, in the order in which they were made
 */
public record Snapshot(List<Series> series, long[] values) {
  /** A gauge that has no value now; it is not reported. */
  public static final long ABSENT = Long.MIN_VALUE;

  /** The value of a field of a series; 0 if there is none such. */
  public long value(Family family, String field, List<String> labels) {
    int index = family.index(field);
    for (Series s : series) {
      if (s.family().equals(family) && s.labels().equals(labels)) {
        return values[s.slot(index)];
      }
    }
    return 0;
  }
}
