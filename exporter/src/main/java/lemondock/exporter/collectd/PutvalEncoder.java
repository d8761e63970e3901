package lemondock.exporter.collectd;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.SnapshotEncoder;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * collectd's plain text protocol, as its exec and unixsock plugins take it: a {@code PUTVAL} line
 * for each series. Not thread-safe.
 */
public final class PutvalEncoder implements SnapshotEncoder {
  private static final String UNDEFINED_GAUGE = "U";

  private final CollectdIdentifiers identifiers;
  private final String intervalOption;

  /**
   * Makes an encoder.
   *
   * @param intervalMillis time between two values of a series
   */
  public PutvalEncoder(CollectdIdentifiers identifiers, long intervalMillis) {
    this.identifiers = identifiers;
    this.intervalOption = "\" interval=" + seconds(intervalMillis) + " ";
  }

  private static String seconds(long millis) {
    return millis % 1000 == 0
        ? Long.toString(millis / 1000)
        : millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
  }

  @Override
  public int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output) {
    int startBytes = output.size();
    int next = firstSeries;
    while (next < snapshot.series().size() && output.size() - startBytes < targetBytes) {
      String line = line(snapshot, snapshot.series().get(next));
      output.writeBytes(line.getBytes(StandardCharsets.US_ASCII));
      next++;
    }
    return next;
  }

  private String line(BufferedSnapshot snapshot, Series series) {
    StringBuilder line =
        new StringBuilder("PUTVAL \"")
            .append(identifiers.host())
            .append('/')
            .append(CollectdIdentifiers.PLUGIN)
            .append('-')
            .append(identifiers.pluginInstance())
            .append('/')
            .append(CollectdIdentifiers.type(series.family()));
    String typeInstance = identifiers.typeInstance(series);
    if (!typeInstance.isEmpty()) {
      line.append('-').append(typeInstance);
    }
    line.append(intervalOption).append(seconds(snapshot.timestampMillis()));
    List<MetricField> fields = series.family().fields();
    for (int i = 0; i < fields.size(); i++) {
      line.append(':');
      appendValue(fields.get(i), snapshot.values()[series.slot(i)], line);
    }
    return line.append('\n').toString();
  }

  private static void appendValue(MetricField field, long value, StringBuilder line) {
    if (field.kind() == MetricField.Kind.COUNTER) {
      line.append(value);
    } else if (value == MetricsSnapshot.NO_VALUE) {
      line.append(UNDEFINED_GAUGE);
    } else {
      field.appendDecimal(value, line);
    }
  }
}
