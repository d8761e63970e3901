package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * Parses the JSON metrics of a gateway into series and values. Unknown families are skipped; fields
 * that are missing in the JSON get {@link MetricsSnapshot#NO_VALUE}.
 */
final class SnapshotParser {
  private static final Map<String, MetricFamily> FAMILIES = new HashMap<>();

  static {
    MetricFamilies.ALL.forEach(family -> FAMILIES.put(family.name(), family));
  }

  private final List<Series> series = new ArrayList<>();
  private final List<Long> values = new ArrayList<>();

  /**
   * The parsed metrics.
   *
   * @param values indexed by {@linkplain Series#slot slot}
   */
  record Parsed(List<Series> series, long[] values) {}

  private SnapshotParser() {}

  /** Parses a JSON object with one member per family, each an array of rows. */
  static Parsed parse(JsonNode families) {
    SnapshotParser parser = new SnapshotParser();
    for (Map.Entry<String, JsonNode> entry : families.properties()) {
      MetricFamily family = FAMILIES.get(entry.getKey());
      if (family != null) {
        entry.getValue().forEach(row -> parser.addSeries(family, row));
      }
    }
    long[] values = parser.values.stream().mapToLong(Long::longValue).toArray();
    return new Parsed(parser.series, values);
  }

  private void addSeries(MetricFamily family, JsonNode row) {
    List<String> labels =
        family.labelNames().stream().map(label -> row.path(label).asText()).toList();
    series.add(new Series(series.size(), family, labels, values.size()));
    for (MetricField field : family.fields()) {
      values.add(parseValue(field, row));
    }
  }

  private static long parseValue(MetricField field, JsonNode row) {
    if (!row.has(field.name())) {
      return MetricsSnapshot.NO_VALUE;
    }
    return row.get(field.name()).decimalValue().movePointRight(field.decimalPlaces()).longValue();
  }
}
