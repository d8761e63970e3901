package lemondock.metrics;

import java.util.Locale;

/** Writes the page that lists all metrics for operators. A test compares the repository's copy. */
public final class MetricCatalogue {
  private static final String INTRODUCTION =
      "# Metrics\n\n"
          + "Written from `MetricFamilies.java` by `lemondock metrics`; a test compares."
          + " Graphite paths are\n"
          + "`PREFIX.INSTANCE.FAMILY.LABELS.FIELD`; collectd identifiers are"
          + " `HOST/lemondock-INSTANCE/lemondock_FAMILY-LABELS`.\n"
          + "No label: the part is left out. Counters grow over a process's life;"
          + " gauges are of the moment; percentiles are of\n"
          + "the last interval. collectd gets counters of worth in millionths and"
          + " of time in microseconds, as whole numbers.\n";

  private MetricCatalogue() {}

  /** The page in Markdown: a table of fields for each family. */
  public static String markdown() {
    StringBuilder page = new StringBuilder(INTRODUCTION);
    for (MetricFamily family : MetricFamilies.ALL) {
      appendFamily(family, page);
    }
    return page.toString();
  }

  private static void appendFamily(MetricFamily family, StringBuilder page) {
    String labels = family.labelNames().isEmpty() ? "none" : String.join(", ", family.labelNames());
    page.append("\n## ")
        .append(family.name())
        .append("\n\n")
        .append(family.help())
        .append(". Labels: ")
        .append(labels)
        .append(".\n\n| field | kind | unit | |\n| --- | --- | --- | --- |\n");
    for (MetricField field : family.fields()) {
      page.append("| `")
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
}
