package lemondock.exporter.graphite;

import java.util.List;
import lemondock.exporter.LabelEscaping;
import lemondock.exporter.SeriesCache;
import lemondock.metrics.MetricField;
import lemondock.metrics.Series;

/**
 * Computes the Graphite names of values, once for each series: paths with the label values as
 * nodes, or names with tags (Graphite 1.1). Not thread-safe.
 */
final class MetricPaths {
  private final String prefix;
  private final String escapedInstance;
  private final boolean isTagged;

  private final SeriesCache<List<String>> pathsBySeries = new SeriesCache<>(this::computePaths);

  /**
   * Creates an empty cache of paths.
   *
   * @param prefix first nodes of each path, separated by dots
   * @param instance name of the gateway that exports the values; escaped to one node or tag value
   * @param isTagged whether instance and labels are tags rather than nodes
   */
  MetricPaths(String prefix, String instance, boolean isTagged) {
    this.prefix = prefix;
    this.escapedInstance = LabelEscaping.escape(instance);
    this.isTagged = isTagged;
  }

  /** The paths of a series' fields, in the order of the fields. */
  List<String> pathsOf(Series series) {
    return pathsBySeries.get(series);
  }

  private List<String> computePaths(Series series) {
    return series.family().fields().stream()
        .map(field -> isTagged ? taggedName(series, field) : path(series, field))
        .toList();
  }

  private String path(Series series, MetricField field) {
    StringBuilder path =
        new StringBuilder(prefix)
            .append('.')
            .append(escapedInstance)
            .append('.')
            .append(series.family().name());
    series.labelValues().forEach(value -> path.append('.').append(LabelEscaping.escape(value)));
    return path.append('.').append(field.name()).toString();
  }

  private String taggedName(Series series, MetricField field) {
    StringBuilder name =
        new StringBuilder(prefix)
            .append('.')
            .append(series.family().name())
            .append('.')
            .append(field.name())
            .append(";instance=")
            .append(escapedInstance);
    for (int i = 0; i < series.labelValues().size(); i++) {
      name.append(';')
          .append(series.family().labelNames().get(i))
          .append('=')
          .append(LabelEscaping.escape(series.labelValues().get(i)));
    }
    return name.toString();
  }
}
