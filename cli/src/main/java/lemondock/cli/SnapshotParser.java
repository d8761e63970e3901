package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondock.metrics.Family;
import lemondock.metrics.Field;
import lemondock.metrics.Metrics;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * Reads the metrics that a gateway answers as JSON back into series and values. Families that this
 * version does not know are left out; fields that an answer lacks are {@link Snapshot#ABSENT}.
 */
final class SnapshotParser {
  private static final Map<String, Family> FAMILIES = new HashMap<>();

  static {
    Metrics.ALL.forEach(family -> FAMILIES.put(family.name(), family));
  }

  private final List<Series> series = new ArrayList<>();
  private final List<Long> values = new ArrayList<>();

  /**
   * A parsed answer.
   *
   * @param values by {@linkplain Series#slot slot}
   */
  record Parsed(List<Series> series, long[] values) {}

  private SnapshotParser() {}

  /** Parses an object whose members are families, each an array of rows. */
  static Parsed parse(JsonNode families) {
    SnapshotParser parser = new SnapshotParser();
    for (Map.Entry<String, JsonNode> entry : families.properties()) {
      Family family = FAMILIES.get(entry.getKey());
      if (family != null) {
        entry.getValue().forEach(row -> parser.addSeries(family, row));
      }
    }
    long[] values = parser.values.stream().mapToLong(Long::longValue).toArray();
    return new Parsed(parser.series, values);
  }

  private void addSeries(Family family, JsonNode row) {
    List<String> labels =
        family.dimensions().stream().map(dimension -> row.path(dimension).asText()).toList();
    series.add(new Series(series.size(), family, labels, values.size()));
    for (Field field : family.fields()) {
      values.add(parseValue(field, row));
    }
  }

  private static long parseValue(Field field, JsonNode row) {
    if (!row.has(field.name())) {
      return Snapshot.ABSENT;
    }
    return row.get(field.name()).decimalValue().movePointRight(field.decimals()).longValue();
  }
}
