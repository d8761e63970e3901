package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import java.math.BigDecimal;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.emulator.collect.ReceivedReports;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;

/**
 * Extracts metric values from all report formats under a common key of family, labels and field. A
 * value that was reported as unknown is null.
 */
final class ReportedValues {
  private static final String COLLECTD_PLUGIN_PREFIX = "lemondock-";
  private static final String COLLECTD_TYPE_PREFIX = "lemondock_";

  private ReportedValues() {}

  private static String key(String family, List<String> labels, String field) {
    return family + labels + field;
  }

  /** The values of a gateway's final metrics. */
  static Map<String, BigDecimal> ofFinalMetrics(JsonNode finalMetrics) {
    Map<String, BigDecimal> values = new TreeMap<>();
    for (MetricFamily family : MetricFamilies.ALL) {
      for (JsonNode row : finalMetrics.get("tally").path(family.name())) {
        List<String> labels =
            family.labelNames().stream().map(label -> row.get(label).textValue()).toList();
        for (MetricField field : family.fields()) {
          if (row.has(field.name())) {
            values.put(
                key(family.name(), labels, field.name()), row.get(field.name()).decimalValue());
          }
        }
      }
    }
    return values;
  }

  /**
   * The newest values that Graphite received from an instance, under paths of the form {@code
   * PREFIX.INSTANCE.FAMILY.LABEL...FIELD}.
   */
  static Map<String, BigDecimal> ofGraphite(ReceivedReports received, String instance) {
    Map<String, BigDecimal> values = new TreeMap<>();
    received
        .newest()
        .forEach(
            (path, entry) -> {
              String[] parts = path.split("\\.");
              if (unescape(parts[1]).equals(instance)) {
                List<String> labels =
                    Arrays.stream(parts, 3, parts.length - 1)
                        .map(ReportedValues::unescape)
                        .toList();
                String field = parts[parts.length - 1];
                values.put(key(parts[2], labels, field), entry.values().get(0));
              }
            });
    return values;
  }

  /**
   * The newest values that collectd received from an instance, under names of the form {@code
   * HOST/PLUGIN-INSTANCE/TYPE-LABELS}.
   */
  static Map<String, BigDecimal> ofCollectd(ReceivedReports received, String instance) {
    Map<String, BigDecimal> values = new TreeMap<>();
    received
        .newest()
        .forEach(
            (name, entry) -> {
              String[] parts = name.split("/");
              if (parts[1].equals(COLLECTD_PLUGIN_PREFIX + instance)) {
                putCollectdValues(values, parts[2].split("-", 2), entry.values());
              }
            });
    return values;
  }

  private static void putCollectdValues(
      Map<String, BigDecimal> values, String[] type, List<BigDecimal> reported) {
    MetricFamily family =
        MetricFamilies.ALL.stream()
            .filter(candidate -> type[0].equals(COLLECTD_TYPE_PREFIX + candidate.name()))
            .findFirst()
            .orElseThrow();
    List<String> labels =
        type.length == 1
            ? List.of()
            : Arrays.stream(type[1].split("\\.")).map(ReportedValues::unescape).toList();
    for (int i = 0; i < family.fields().size(); i++) {
      MetricField field = family.fields().get(i);
      BigDecimal value = reported.get(i);
      boolean isScaled = value != null && field.kind() != MetricField.Kind.GAUGE;
      values.put(
          key(family.name(), labels, field.name()),
          isScaled ? value.movePointLeft(field.decimalPlaces()) : value);
    }
  }

  private static String unescape(String part) {
    return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
  }
}
