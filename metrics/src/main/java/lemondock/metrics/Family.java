package lemondock.metrics;

import java.util.List;

/**
 * Values that are counted together under the same labels: one data set for collectd, a set of paths
 * for Graphite, a set of meters for Micrometer. A family of {@link Shape#TIMES} has the fields that
 * a histogram yields.
 *
 * @param dimensions names of the labels, in order
 */
public record Family(
    String name, Shape shape, List<String> dimensions, List<Field> fields, String help) {
  /** Plain values, or a histogram of times. */
  public enum Shape {
    VALUES,
    TIMES
  }

  /** Microseconds are told as milliseconds with three places. */
  private static final int MICROS_IN_MILLIS = 3;

  private static final List<Field> TIMES =
      List.of(
          new Field("count", Field.Kind.COUNTER, 0, "1", "times recorded"),
          new Field("sum", Field.Kind.COUNTER, MICROS_IN_MILLIS, "ms", "their sum"),
          new Field(
              "p50",
              Field.Kind.GAUGE,
              MICROS_IN_MILLIS,
              "ms",
              "half of those of the last interval lie below"),
          new Field("p90", Field.Kind.GAUGE, MICROS_IN_MILLIS, "ms", "9 of 10"),
          new Field("p99", Field.Kind.GAUGE, MICROS_IN_MILLIS, "ms", "99 of 100"),
          new Field("p999", Field.Kind.GAUGE, MICROS_IN_MILLIS, "ms", "999 of 1,000"),
          new Field(
              "max", Field.Kind.GAUGE, MICROS_IN_MILLIS, "ms", "the longest of the last interval"));

  /** Checks that the lists stay as they are. */
  public Family {
    dimensions = List.copyOf(dimensions);
    fields = List.copyOf(fields);
  }

  /** A family of plain values. */
  public static Family values(String name, List<String> dimensions, String help, Field... fields) {
    return new Family(name, Shape.VALUES, dimensions, List.of(fields), help);
  }

  /** A family of times, recorded in microseconds. */
  public static Family times(String name, List<String> dimensions, String help) {
    return new Family(name, Shape.TIMES, dimensions, TIMES, help);
  }

  /** The place of a field among its family's; a name that is not there is a defect. */
  public int index(String field) {
    for (int i = 0; i < fields.size(); i++) {
      if (fields.get(i).name().equals(field)) {
        return i;
      }
    }
    throw new IllegalArgumentException(name + " has no field " + field);
  }
}
