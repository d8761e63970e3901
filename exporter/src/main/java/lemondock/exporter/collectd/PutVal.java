package lemondock.exporter.collectd;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.Encoder;
import lemondock.exporter.SnapshotRing;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * collectd's plain text protocol, as its exec and unixsock plugins take it: a {@code PUTVAL} line
 * for each series.
 */
public final class PutVal implements Encoder {
  private final Identity names;
  private final String interval;

  /** Makes an encoder; {@code intervalMillis} lies between two values of a series. */
  public PutVal(Identity names, long intervalMillis) {
    this.names = names;
    this.interval = "\" interval=" + seconds(intervalMillis) + " ";
  }

  private static String seconds(long millis) {
    return millis % 1000 == 0
        ? Long.toString(millis / 1000)
        : millis / 1000 + "." + Long.toString(1000 + millis % 1000).substring(1);
  }

  @Override
  public int encode(SnapshotRing.View snapshot, int from, int about, ByteArrayOutputStream to) {
    StringBuilder line = new StringBuilder();
    int at = from;
    int size = to.size();
    for (; at < snapshot.series().size() && to.size() - size < about; at++) {
      Series s = snapshot.series().get(at);
      line.setLength(0);
      line.append("PUTVAL \"")
          .append(names.host())
          .append('/')
          .append(Identity.PLUGIN)
          .append('-')
          .append(names.instance())
          .append('/')
          .append(Identity.type(s));
      if (!names.typeInstance(s).isEmpty()) {
        line.append('-').append(names.typeInstance(s));
      }
      line.append(interval).append(seconds(snapshot.stamp()));
      List<Field> fields = s.family().fields();
      for (int i = 0; i < fields.size(); i++) {
        long value = snapshot.values()[s.slot(i)];
        line.append(':');
        if (fields.get(i).kind() == Field.Kind.COUNTER) {
          line.append(value);
        } else if (value == Snapshot.ABSENT) {
          line.append('U');
        } else {
          fields.get(i).append(value, line);
        }
      }
      to.writeBytes(line.append('\n').toString().getBytes(StandardCharsets.US_ASCII));
    }
    return at;
  }
}
