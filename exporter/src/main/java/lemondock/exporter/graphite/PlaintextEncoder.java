package lemondock.exporter.graphite;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.SnapshotEncoder;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * Graphite's plaintext protocol: a line {@code PATH VALUE SECONDS} for each value, as an exact
 * decimal. Gauges without a value are left out. Not thread-safe.
 */
public final class PlaintextEncoder implements SnapshotEncoder {
  private static final int MILLIS_PER_SECOND = 1_000;

  private final MetricPaths paths;

  /**
   * Makes an encoder.
   *
   * @param prefix first nodes of each path; may contain dots, which separate nodes
   * @param instance the reporting gateway
   * @param isTagged whether instance and labels are tags rather than nodes of the path
   */
  public PlaintextEncoder(String prefix, String instance, boolean isTagged) {
    this.paths = new MetricPaths(prefix, instance, isTagged);
  }

  @Override
  public int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output) {
    int startBytes = output.size();
    int next = firstSeries;
    while (next < snapshot.series().size() && output.size() - startBytes < targetBytes) {
      String lines = lines(snapshot, snapshot.series().get(next));
      output.writeBytes(lines.getBytes(StandardCharsets.US_ASCII));
      next++;
    }
    return next;
  }

  private String lines(BufferedSnapshot snapshot, Series series) {
    StringBuilder lines = new StringBuilder();
    List<String> fieldPaths = paths.pathsOf(series);
    for (int i = 0; i < fieldPaths.size(); i++) {
      MetricField field = series.family().fields().get(i);
      long value = snapshot.values()[series.slot(i)];
      if (value != MetricsSnapshot.NO_VALUE || field.kind() == MetricField.Kind.COUNTER) {
        lines.append(fieldPaths.get(i)).append(' ');
        field.appendDecimal(value, lines);
        lines.append(' ').append(snapshot.timestampMillis() / MILLIS_PER_SECOND).append('\n');
      }
    }
    return lines.toString();
  }
}
