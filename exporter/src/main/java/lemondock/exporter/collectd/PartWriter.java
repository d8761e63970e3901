package lemondock.exporter.collectd;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.metrics.MetricField;
import lemondock.metrics.Series;

/**
 * Writes the parts of packets of collectd's network protocol. A part consists of a type (two
 * bytes), a length (two bytes), which includes these four bytes, and the content. Not thread-safe.
 */
final class PartWriter {
  /** Types of parts, with their codes in the protocol. */
  enum PartType {
    HOST(0x0000),
    PLUGIN(0x0002),
    PLUGIN_INSTANCE(0x0003),
    TYPE(0x0004),
    TYPE_INSTANCE(0x0005),
    VALUES(0x0006),
    /** In units of 2^-30 seconds. */
    TIME_HIGH_RESOLUTION(0x0008),
    /** In units of 2^-30 seconds. */
    INTERVAL_HIGH_RESOLUTION(0x0009),
    MESSAGE(0x0100),
    SEVERITY(0x0101);

    private final int code;

    PartType(int code) {
      this.code = code;
    }
  }

  private static final int HEADER_BYTES = 4;
  private static final int GAUGE_CODE = 1;

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  /** Discards all parts written so far. */
  void reset() {
    output.reset();
  }

  int size() {
    return output.size();
  }

  byte[] toByteArray() {
    return output.toByteArray();
  }

  /** Appends the parts of another writer. */
  void append(PartWriter other) {
    output.writeBytes(other.toByteArray());
  }

  void writeText(PartType type, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    byte terminator = 0;
    write(newPart(type, bytes.length + 1).put(bytes).put(terminator));
  }

  void writeNumber(PartType type, long value) {
    write(newPart(type, Long.BYTES).putLong(value));
  }

  /** Writes a part with the types of a series' values, then the values. */
  void writeValues(Series series, long[] values, CounterType counterType) {
    List<MetricField> fields = series.family().fields();
    ByteBuffer part =
        newPart(PartType.VALUES, Short.BYTES + fields.size() * (1 + Long.BYTES))
            .putShort((short) fields.size());
    for (MetricField field : fields) {
      boolean isCounter = field.kind() == MetricField.Kind.COUNTER;
      part.put((byte) (isCounter ? counterType.code() : GAUGE_CODE));
    }
    for (int i = 0; i < fields.size(); i++) {
      putValue(fields.get(i), values[series.slot(i)], part);
    }
    write(part);
  }

  /** Puts a counter as a big-endian integer, or a gauge as a little-endian double. */
  private static void putValue(MetricField field, long value, ByteBuffer part) {
    if (field.kind() == MetricField.Kind.COUNTER) {
      part.putLong(value);
    } else {
      part.order(ByteOrder.LITTLE_ENDIAN)
          .putDouble(field.hasValue(value) ? field.toDouble(value) : Double.NaN)
          .order(ByteOrder.BIG_ENDIAN);
    }
  }

  private static ByteBuffer newPart(PartType type, int contentBytes) {
    int length = HEADER_BYTES + contentBytes;
    return ByteBuffer.allocate(length).putShort((short) type.code).putShort((short) length);
  }

  private void write(ByteBuffer part) {
    output.writeBytes(part.array());
  }
}
