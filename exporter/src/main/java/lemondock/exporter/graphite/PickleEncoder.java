package lemondock.exporter.graphite;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.SnapshotEncoder;
import lemondock.metrics.MetricField;
import lemondock.metrics.Series;

/**
 * Encodes snapshots for Graphite's pickle protocol: each frame is a length of four bytes
 * (big-endian) and a pickle (protocol 2) of a list of {@code (path, (seconds, value))}. Whole
 * numbers are sent as integers, since a double is exact only up to 2^53. Gauges without a value are
 * omitted. Not thread-safe.
 */
public final class PickleEncoder implements SnapshotEncoder {
  /** Size at which a frame is ended; far below the 1 MB that carbon accepts. */
  private static final int MAX_FRAME_BYTES = 32 * 1024;

  private static final int MILLIS_PER_SECOND = 1_000;
  private static final int PICKLE_PROTOCOL = 2;

  // Opcodes of Python's pickle format.
  private static final int PROTO = 0x80;
  private static final int EMPTY_LIST = ']';
  private static final int MARK = '(';
  private static final int APPENDS = 'e';
  private static final int STOP = '.';
  private static final int BINUNICODE = 'X';
  private static final int BINFLOAT = 'G';
  private static final int LONG1 = 0x8a;
  private static final int TUPLE2 = 0x86;

  private final MetricPaths paths;
  private final ByteArrayOutputStream frame = new ByteArrayOutputStream();

  /**
   * Creates an encoder.
   *
   * @param prefix first nodes of each path, separated by dots
   * @param instance name of the gateway that exports the values
   * @param isTagged whether instance and labels are tags rather than nodes of the path
   */
  public PickleEncoder(String prefix, String instance, boolean isTagged) {
    this.paths = new MetricPaths(prefix, instance, isTagged);
  }

  @Override
  public int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output) {
    int startBytes = output.size();
    int next = firstSeries;
    while (next < snapshot.series().size() && output.size() - startBytes < targetBytes) {
      next = encodeFrame(snapshot, next);
      output.writeBytes(ByteBuffer.allocate(Integer.BYTES).putInt(frame.size()).array());
      output.writeBytes(frame.toByteArray());
    }
    return next;
  }

  private int encodeFrame(BufferedSnapshot snapshot, int firstSeries) {
    frame.reset();
    frame.write(PROTO);
    frame.write(PICKLE_PROTOCOL);
    frame.write(EMPTY_LIST);
    frame.write(MARK);
    int next = firstSeries;
    while (next < snapshot.series().size() && frame.size() < MAX_FRAME_BYTES) {
      writeSeries(snapshot, snapshot.series().get(next));
      next++;
    }
    frame.write(APPENDS);
    frame.write(STOP);
    return next;
  }

  private void writeSeries(BufferedSnapshot snapshot, Series series) {
    List<String> fieldPaths = paths.pathsOf(series);
    for (int i = 0; i < fieldPaths.size(); i++) {
      MetricField field = series.family().fields().get(i);
      long value = snapshot.values()[series.slot(i)];
      if (field.hasValue(value)) {
        writeString(fieldPaths.get(i));
        writeInteger(snapshot.timestampMillis() / MILLIS_PER_SECOND);
        writeValue(field, value);
        frame.write(TUPLE2); // (seconds, value)
        frame.write(TUPLE2); // (path, (seconds, value))
      }
    }
  }

  private void writeValue(MetricField field, long value) {
    if (field.decimalPlaces() == 0) {
      writeInteger(value);
    } else {
      frame.write(BINFLOAT);
      frame.writeBytes(ByteBuffer.allocate(Double.BYTES).putDouble(field.toDouble(value)).array());
    }
  }

  private void writeString(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    frame.write(BINUNICODE);
    writeLittleEndian(bytes.length, Integer.BYTES);
    frame.writeBytes(bytes);
  }

  /** Writes the number of bytes, then the value in two's complement, little-endian. */
  private void writeInteger(long value) {
    frame.write(LONG1);
    frame.write(Long.BYTES);
    writeLittleEndian(value, Long.BYTES);
  }

  private void writeLittleEndian(long value, int byteCount) {
    for (int i = 0; i < byteCount; i++) {
      frame.write((int) (value >>> Byte.SIZE * i));
    }
  }
}
