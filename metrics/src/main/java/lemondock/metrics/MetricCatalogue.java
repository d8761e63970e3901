package lemondock.metrics;

import java.util.Locale;

/**
 * Writes the page that lists all metrics for operators. A test checks that the copy in the
 * repository is up to date.
 */
public final class MetricCatalogue {
  private static final String INTRODUCTION =
      "# Metrics\n\n"
          + "Generated from `MetricFamilies.java` by `lemondock metrics`; a test checks that this"
          + " page is up to date.\n"
          + "Graphite paths are `PREFIX.INSTANCE.FAMILY.LABELS.FIELD`; collectd identifiers are\n"
          + "`HOST/lemondock-INSTANCE/lemondock_FAMILY-LABELS`. A family without labels has no"
          + " LABELS part.\n"
          + "Counters grow over the life of a process; gauges are current values; percentiles cover"
          + " the last interval.\n"
          + "collectd receives counters of priority weight (`worth`) in millionths and of time in"
          + " microseconds, as whole numbers.\n";

  private MetricCatalogue() {}

  /** Returns the page in Markdown: a table of fields for each family. */
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
