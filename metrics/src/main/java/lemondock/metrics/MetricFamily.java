package lemondock.metrics;

import java.util.List;

/**
 * Metrics that share a name and label names and are updated together: one data set in collectd, a
 * set of paths in Graphite, a set of meters in Micrometer.
 *
 * @param name name under which collectors receive the family; part of the interface to them
 * @param type how the fields get their values
 * @param labelNames names of the labels, in the order in which {@link Series} give their values
 * @param fields the values of each series, in the order of their slots
 * @param help description in one line for operators
 */
public record MetricFamily(
    String name, Type type, List<String> labelNames, List<MetricField> fields, String help) {
  /** How the fields of a family get their values. */
  public enum Type {
    /** Each field is a counter or gauge that is recorded directly. */
    SCALARS,
    /** All fields are computed from recorded durations: count, sum, quantiles, maximum. */
    DURATION_SUMMARY
  }

  /** Durations are recorded in microseconds and reported in milliseconds. */
  private static final int DURATION_DECIMALS = 3;

  private static final List<MetricField> DURATION_SUMMARY_FIELDS =
      List.of(
          new MetricField(
              "count", MetricField.Kind.COUNTER, 0, "1", "number of durations recorded"),
          new MetricField(
              "sum", MetricField.Kind.COUNTER, DURATION_DECIMALS, "ms", "sum of the durations"),
          durationGauge("p50", "50th percentile of the last interval"),
          durationGauge("p90", "90th percentile of the last interval"),
          durationGauge("p99", "99th percentile of the last interval"),
          durationGauge("p999", "99.9th percentile of the last interval"),
          durationGauge("max", "longest duration of the last interval"));

  /** Makes immutable copies of the lists. */
  public MetricFamily {
    labelNames = List.copyOf(labelNames);
    fields = List.copyOf(fields);
  }

  /** Creates a family of counters and gauges. */
  public static MetricFamily ofFields(
      String name, List<String> labelNames, String help, MetricField... fields) {
    return new MetricFamily(name, Type.SCALARS, labelNames, List.of(fields), help);
  }

  /** Creates a family of durations, which are recorded in microseconds. */
  public static MetricFamily durationSummary(String name, List<String> labelNames, String help) {
    return new MetricFamily(name, Type.DURATION_SUMMARY, labelNames, DURATION_SUMMARY_FIELDS, help);
  }

  /**
   * Returns the position of a field within {@link #fields}.
   *
   * @throws IllegalArgumentException if the family has no field of that name
   */
  public int fieldIndex(String fieldName) {
    for (int i = 0; i < fields.size(); i++) {
      if (fields.get(i).name().equals(fieldName)) {
        return i;
      }
    }
    throw new IllegalArgumentException("metric family " + name + " has no field " + fieldName);
  }

  private static MetricField durationGauge(String name, String help) {
    return new MetricField(name, MetricField.Kind.GAUGE, DURATION_DECIMALS, "ms", help);
  }
}
