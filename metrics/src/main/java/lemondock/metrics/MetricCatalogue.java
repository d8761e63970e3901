package lemondock.metrics;

import java.util.Locale;

/**
 * Writes the list of metrics for people and for collectd. The files in the repository are checked
 * against it.
 */
public final class MetricCatalogue {
  private MetricCatalogue() {}

  /** The page for operators. */
  public static String page() {
    StringBuilder text =
        new StringBuilder(
            "# Metrics\n\n"
                + "Written from `Metrics.java` by `lemondock metrics`; a test compares."
                + " Graphite paths are\n"
                + "`PREFIX.INSTANCE.FAMILY.LABELS.FIELD`; collectd identifiers are"
                + " `HOST/lemondock-INSTANCE/lemondock_FAMILY-LABELS`.\n"
                + "No label: the part is left out. Counters grow over a process's life;"
                + " gauges are of the moment; percentiles are of\n"
                + "the last interval. collectd gets counters of worth in millionths and"
                + " of time in microseconds, as whole numbers.\n");
    for (Family f : Metrics.ALL) {
      text.append("\n## ")
          .append(f.name())
          .append("\n\n")
          .append(f.help())
          .append(". Labels: ")
          .append(f.dimensions().isEmpty() ? "none" : String.join(", ", f.dimensions()))
          .append(".\n\n| field | kind | unit | |\n| --- | --- | --- | --- |\n");
      for (Field field : f.fields()) {
        text.append("| `")
            .append(field.name())
            .append("` | ")
            .append(field.kind().name().toLowerCase(Locale.ROOT))
            .append(" | ")
            .append(field.unit())
            .append(" | ")
            .append(field.help())
            .append(" |\n");
      }
    }
    return text.toString();
  }

  /** collectd's data sets: a line a family, {@code NAME FIELD:TYPE:MIN:MAX, ...}. */
  public static String typesDb() {
    return typesDb(true);
  }

  /** The same, with counters as DERIVE or as COUNTER, as the gateways' settings have it. */
  public static String typesDb(boolean derive) {
    StringBuilder text =
        new StringBuilder(
            "# Data sets of lemondock for collectd's TypesDB; written by "
                + "`lemondock metrics --types-db`.\n");
    for (Family f : Metrics.ALL) {
      String separator = "\t";
      text.append("lemondock_").append(f.name());
      for (Field field : f.fields()) {
        text.append(separator)
            .append(field.name())
            .append(
                field.kind() == Field.Kind.COUNTER
                    ? (derive ? ":DERIVE:0:U" : ":COUNTER:0:U")
                    : ":GAUGE:U:U");
        separator = ", ";
      }
      text.append('\n');
    }
    return text.toString();
  }
}
