package lemondock.gateway.reporting;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * Converts metrics to JSON: an array for each family, with one object per series that holds its
 * labels and values. Values are exact decimals. Safe for any thread.
 */
public final class SnapshotJson {
  private SnapshotJson() {}

  /** Converts all families; a gauge without a value is omitted from its object. */
  public static ObjectNode of(MetricsSnapshot snapshot) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    for (Series series : snapshot.series()) {
      ArrayNode rows = root.withArray("/" + series.family().name());
      addSeries(series, snapshot.values(), rows.addObject());
    }
    return root;
  }

  private static void addSeries(Series series, long[] values, ObjectNode row) {
    MetricFamily family = series.family();
    for (int i = 0; i < series.labelValues().size(); i++) {
      row.put(family.labelNames().get(i), series.labelValues().get(i));
    }
    for (int i = 0; i < family.fields().size(); i++) {
      addValue(family.fields().get(i), values[series.slot(i)], row);
    }
  }

  private static void addValue(MetricField field, long value, ObjectNode row) {
    if (value == MetricsSnapshot.NO_VALUE && field.kind() != MetricField.Kind.COUNTER) {
      return;
    }
    if (field.decimalPlaces() == 0) {
      row.put(field.name(), value);
    } else {
      row.put(field.name(), BigDecimal.valueOf(value, field.decimalPlaces()).stripTrailingZeros());
    }
  }
}
