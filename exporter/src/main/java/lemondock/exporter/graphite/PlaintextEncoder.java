package lemondock.exporter.graphite;

import java.util.List;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.LineEncoder;
import lemondock.metrics.MetricField;
import lemondock.metrics.Series;

/**
 * Encodes snapshots for Graphite's plaintext protocol: a line {@code PATH VALUE SECONDS} for each
 * value, written as an exact decimal. Gauges without a value are omitted. Not thread-safe.
 */
public final class PlaintextEncoder extends LineEncoder {
  private static final int MILLIS_PER_SECOND = 1_000;

  private final MetricPaths paths;

  /**
   * Creates an encoder.
   *
   * @param prefix first nodes of each path, separated by dots
   * @param instance name of the gateway that exports the values
   * @param isTagged whether instance and labels are tags rather than nodes of the path
   */
  public PlaintextEncoder(String prefix, String instance, boolean isTagged) {
    this.paths = new MetricPaths(prefix, instance, isTagged);
  }

  @Override
  protected void appendLines(BufferedSnapshot snapshot, Series series, StringBuilder lines) {
    String lineEnd = " " + snapshot.timestampMillis() / MILLIS_PER_SECOND + "\n";
    List<String> fieldPaths = paths.pathsOf(series);
    for (int i = 0; i < fieldPaths.size(); i++) {
      MetricField field = series.family().fields().get(i);
      long value = snapshot.values()[series.slot(i)];
      if (field.hasValue(value)) {
        lines.append(fieldPaths.get(i)).append(' ');
        field.appendDecimal(value, lines);
        lines.append(lineEnd);
      }
    }
  }
}
