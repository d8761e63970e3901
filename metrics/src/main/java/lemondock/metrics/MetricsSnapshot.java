package lemondock.metrics;

import java.util.List;

/**
 * All values of a registry at one moment. Quantiles and maxima of durations cover the current
 * interval; everything else covers the life of the process.
 *
 * @param series the series that existed when the snapshot was taken, in the order of {@link
 *     Series#index}
 * @param values one value for each slot, in the smallest unit of its field ({@link
 *     MetricField#decimalPlaces}); the array is shared, so callers must not change it
 */
public record MetricsSnapshot(List<Series> series, long[] values) {
  /** Marks a gauge that has no value at present; exporters leave it out. */
  public static final long NO_VALUE = Long.MIN_VALUE;

  /** A snapshot without series. */
  public static final MetricsSnapshot EMPTY = new MetricsSnapshot(List.of(), new long[0]);

  /**
   * Returns the value of a field of a series; 0 if the snapshot has no such series.
   *
   * @throws IllegalArgumentException if the family has no field of that name
   */
  public long value(MetricFamily family, String fieldName, List<String> labelValues) {
    int fieldIndex = family.fieldIndex(fieldName);
    for (Series candidate : series) {
      if (candidate.family().equals(family) && candidate.labelValues().equals(labelValues)) {
        return values[candidate.slot(fieldIndex)];
      }
    }
    return 0;
  }
}
