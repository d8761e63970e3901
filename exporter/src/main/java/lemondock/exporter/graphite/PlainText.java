package lemondock.exporter.graphite;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.Encoder;
import lemondock.exporter.SnapshotRing;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * Graphite's plaintext protocol: a line {@code PATH VALUE SECONDS} for each value. Counters are
 * exact decimals.
 */
public final class PlainText implements Encoder {
  private final Paths paths;

  /** See {@link Paths}. */
  public PlainText(String prefix, String instance, boolean tags) {
    this.paths = new Paths(prefix, instance, tags);
  }

  @Override
  public int encode(SnapshotRing.View snapshot, int from, int about, ByteArrayOutputStream to) {
    StringBuilder line = new StringBuilder();
    String end = " " + snapshot.stamp() / 1000 + "\n";
    int at = from;
    int size = to.size();
    for (; at < snapshot.series().size() && to.size() - size < about; at++) {
      Series s = snapshot.series().get(at);
      List<String> names = paths.of(s);
      line.setLength(0);
      for (int i = 0; i < names.size(); i++) {
        long value = snapshot.values()[s.slot(i)];
        Field field = s.family().fields().get(i);
        if (value != Snapshot.ABSENT || field.kind() == Field.Kind.COUNTER) {
          line.append(names.get(i)).append(' ');
          field.append(value, line);
          line.append(end);
        }
      }
      to.writeBytes(line.toString().getBytes(StandardCharsets.US_ASCII));
    }
    return at;
  }
}
