package lemondock.gateway.reporting;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import lemondock.metrics.Family;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * A tally as JSON: for each family its rows, each with its labels and values. Values are exact
 * decimals.
 */
public final class SnapshotJson {
  private SnapshotJson() {}

  /** All families; a gauge without a value is left out of its row. */
  public static ObjectNode of(Snapshot snapshot) {
    ObjectNode root = JsonNodeFactory.instance.objectNode();
    for (Series series : snapshot.series()) {
      Family family = series.family();
      ArrayNode rows = root.withArray("/" + family.name());
      ObjectNode row = rows.addObject();
      for (int i = 0; i < series.labels().size(); i++) {
        row.put(family.dimensions().get(i), series.labels().get(i));
      }
      for (int i = 0; i < family.fields().size(); i++) {
        Field field = family.fields().get(i);
        long value = snapshot.values()[series.slot(i)];
        if (value != Snapshot.ABSENT || field.kind() == Field.Kind.COUNTER) {
          if (field.decimals() == 0) {
            row.put(field.name(), value);
          } else {
            row.put(field.name(), BigDecimal.valueOf(value, field.decimals()).stripTrailingZeros());
          }
        }
      }
    }
    return root;
  }
}
