package lemondock.exporter.graphite;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.Encoder;
import lemondock.exporter.SnapshotRing;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * Graphite's pickle protocol: four bytes of length (big-endian), then Python's pickle (protocol 2)
 * of a list of {@code (path, (seconds, value))}. Whole numbers go as integers, since a double is
 * exact only up to 2^53. Frames stay far below the megabyte that carbon takes.
 */
public final class Pickle implements Encoder {
  private static final int FRAME = 32 * 1024;
  private static final byte PROTO = (byte) 0x80;

  private final Paths paths;
  private final ByteArrayOutputStream frame = new ByteArrayOutputStream();

  /** See {@link Paths}. */
  public Pickle(String prefix, String instance, boolean tags) {
    this.paths = new Paths(prefix, instance, tags);
  }

  @Override
  public int encode(SnapshotRing.View snapshot, int from, int about, ByteArrayOutputStream to) {
    int at = from;
    int size = to.size();
    while (at < snapshot.series().size() && to.size() - size < about) {
      frame.reset();
      frame.write(PROTO);
      frame.write(2);
      frame.write(']'); // empty list
      frame.write('('); // mark
      for (; at < snapshot.series().size() && frame.size() < FRAME; at++) {
        series(snapshot, snapshot.series().get(at));
      }
      frame.write('e'); // append all since the mark
      frame.write('.');
      to.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(frame.size()).array());
      to.writeBytes(frame.toByteArray());
    }
    return at;
  }

  private void series(SnapshotRing.View snapshot, Series s) {
    List<String> names = paths.of(s);
    for (int i = 0; i < names.size(); i++) {
      long value = snapshot.values()[s.slot(i)];
      Field field = s.family().fields().get(i);
      if (value != Snapshot.ABSENT || field.kind() == Field.Kind.COUNTER) {
        byte[] name = names.get(i).getBytes(StandardCharsets.UTF_8);
        frame.write('X');
        littleEndian(name.length, Integer.BYTES);
        frame.writeBytes(name);
        whole(snapshot.stamp() / 1000);
        if (field.decimals() == 0) {
          whole(value);
        } else {
          frame.write('G');
          frame.writeBytes(
              ByteBuffer.allocate(Double.BYTES).putDouble(field.toDouble(value)).array());
        }
        frame.write(0x86); // pair of seconds and value
        frame.write(0x86); // pair of path and that
      }
    }
  }

  /** LONG1: a count of bytes, then two's complement, little-endian. */
  private void whole(long value) {
    frame.write(0x8a);
    frame.write(Long.BYTES);
    littleEndian(value, Long.BYTES);
  }

  private void littleEndian(long value, int bytes) {
    for (int i = 0; i < bytes; i++) {
      frame.write((int) (value >>> 8 * i));
    }
  }
}
