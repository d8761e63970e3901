package lemondock.exporter.collectd;

import java.util.List;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.LineEncoder;
import lemondock.metrics.MetricField;
import lemondock.metrics.Series;

/**
 * Encodes snapshots for collectd's plain text protocol, which its exec and unixsock plugins accept:
 * a {@code PUTVAL} line for each series. Not thread-safe.
 */
public final class PutvalEncoder extends LineEncoder {
  private static final String UNDEFINED_GAUGE = "U";

  private final CollectdIdentifiers identifiers;
  private final String intervalOption;

  /**
   * Creates an encoder.
   *
   * @param intervalMillis time between two values of a series, in milliseconds
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
  protected void appendLines(BufferedSnapshot snapshot, Series series, StringBuilder lines) {
    lines
        .append("PUTVAL \"")
        .append(identifiers.host())
        .append('/')
        .append(CollectdIdentifiers.PLUGIN)
        .append('-')
        .append(identifiers.pluginInstance())
        .append('/')
        .append(CollectdIdentifiers.type(series.family()));
    String typeInstance = identifiers.typeInstance(series);
    if (!typeInstance.isEmpty()) {
      lines.append('-').append(typeInstance);
    }
    lines.append(intervalOption).append(seconds(snapshot.timestampMillis()));
    List<MetricField> fields = series.family().fields();
    for (int i = 0; i < fields.size(); i++) {
      lines.append(':');
      appendValue(fields.get(i), snapshot.values()[series.slot(i)], lines);
    }
    lines.append('\n');
  }

  private static void appendValue(MetricField field, long value, StringBuilder line) {
    if (field.kind() == MetricField.Kind.COUNTER) {
      line.append(value); // an integer, in the smallest unit of the field
    } else if (!field.hasValue(value)) {
      line.append(UNDEFINED_GAUGE);
    } else {
      field.appendDecimal(value, line);
    }
  }
}
