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
 * A tally as JSON: for each family its rows, each with its labels and values. Values are exact
 * decimals.
 */
public final class SnapshotJson {
  private SnapshotJson() {}

  /** All families; a gauge without a value is left out of its row. */
  public static ObjectNode of(MetricsSnapshot snapshot) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    for (Series series : snapshot.series()) {
      MetricFamily family = series.family();
      ArrayNode rows = root.withArray("/" + family.name());
      ObjectNode row = rows.addObject();
      for (int i = 0; i < series.labelValues().size(); i++) {
        row.put(family.labelNames().get(i), series.labelValues().get(i));
      }
      for (int i = 0; i < family.fields().size(); i++) {
        MetricField field = family.fields().get(i);
        long value = snapshot.values()[series.slot(i)];
        if (value != MetricsSnapshot.NO_VALUE || field.kind() == MetricField.Kind.COUNTER) {
          if (field.decimalPlaces() == 0) {
            row.put(field.name(), value);
          } else {
            row.put(
                field.name(),
                BigDecimal.valueOf(value, field.decimalPlaces()).stripTrailingZeros());
          }
        }
      }
    }
    return root;
  }
}
