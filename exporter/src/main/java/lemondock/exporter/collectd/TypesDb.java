package lemondock.exporter.collectd;

import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;

/** Generates collectd's data set definitions for all metric families; see types.db(5). */
public final class TypesDb {
  private static final String HEADER =
      "# Data sets of lemondock for collectd's TypesDB; written by "
          + "`lemondock metrics --types-db`.\n";

  private TypesDb() {}

  /**
   * Generates a line {@code NAME FIELD:TYPE:MIN:MAX, ...} for each family, after a header comment.
   *
   * @param counterType the data source type that the gateways' destinations send counters as
   */
  public static String definitions(CounterType counterType) {
    StringBuilder text = new StringBuilder(HEADER);
    for (MetricFamily family : MetricFamilies.ALL) {
      text.append(CollectdIdentifiers.type(family));
      String separator = "\t";
      for (MetricField field : family.fields()) {
        text.append(separator).append(field.name()).append(dataSource(field, counterType));
        separator = ", ";
      }
      text.append('\n');
    }
    return text.toString();
  }

  private static String dataSource(MetricField field, CounterType counterType) {
    return field.kind() == MetricField.Kind.COUNTER ? ":" + counterType + ":0:U" : ":GAUGE:U:U";
  }
}
