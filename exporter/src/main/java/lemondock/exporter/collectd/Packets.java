package lemondock.exporter.collectd;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import lemondock.exporter.SnapshotRing;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;

/**
 * collectd's binary network protocol (https://collectd.org/wiki/index.php/Binary_protocol): parts
 * of type, length and content; a part that stays the same within a packet is sent once. Counters go
 * as DERIVE in whole numbers, gauges as doubles, not-a-number where there is no value. No I/O.
 */
public final class Packets {
  private static final int HOST = 0x0000;
  private static final int PLUGIN = 0x0002;
  private static final int PLUGIN_INSTANCE = 0x0003;
  private static final int TYPE = 0x0004;
  private static final int TYPE_INSTANCE = 0x0005;
  private static final int VALUES = 0x0006;
  private static final int TIME_HR = 0x0008;
  private static final int INTERVAL_HR = 0x0009;
  private static final int MESSAGE = 0x0100;
  private static final int SEVERITY = 0x0101;
  private static final int COUNTER = 0;
  private static final int GAUGE = 1;
  private static final int DERIVE = 2;
  private static final int PART_HEAD = 4;
  private static final int MOST_MESSAGE = 255;

  private final Identity names;
  private final Seal seal;
  private final int room;
  private final long interval;
  private final int counter;
  private final ByteArrayOutputStream packet = new ByteArrayOutputStream();
  private final ByteArrayOutputStream piece = new ByteArrayOutputStream();
  private String type = "";
  private String typeInstance = "";
  private long stamp = -1;

  /** How bad a notification is, by collectd's numbers. */
  public enum Severity {
    FAILURE(1),
    WARNING(2),
    OKAY(4);

    private final int number;

    Severity(int number) {
      this.number = number;
    }
  }

  /**
   * Makes packets.
   *
   * @param mostBytes of a packet with its seal; collectd's default is 1,452
   * @param intervalMillis between two values of a series
   * @param derive counters as DERIVE, which takes a restart for what it is; false: as COUNTER,
   *     which takes it for a wrap
   */
  public Packets(Identity names, Seal seal, int mostBytes, long intervalMillis, boolean derive) {
    this.names = names;
    this.seal = seal;
    this.room = mostBytes - seal.overhead();
    this.interval = highResolution(intervalMillis);
    this.counter = derive ? DERIVE : COUNTER;
  }

  /** Time in units of 2^-30 seconds. */
  static long highResolution(long millis) {
    return (millis / 1000 << 30) + (millis % 1000 << 30) / 1000;
  }

  /**
   * One packet of a snapshot.
   *
   * @param from the place of the first series
   * @param to gets the packet
   * @return the place of the first series not in it; the number of series if all are out
   */
  public int next(SnapshotRing.View snapshot, int from, List<ByteBuffer> to) {
    begin(snapshot.stamp());
    int at = from;
    for (; at < snapshot.series().size(); at++) {
      Series s = snapshot.series().get(at);
      String typeBefore = type;
      String instanceBefore = typeInstance;
      piece.reset();
      series(snapshot, s);
      if (packet.size() + piece.size() > room) {
        type = typeBefore;
        typeInstance = instanceBefore;
        if (at == from) {
          at++; // a single series is larger than a packet: it cannot be told
        }
        break;
      }
      packet.writeBytes(piece.toByteArray());
    }
    to.add(seal.seal(packet.toByteArray()));
    return at;
  }

  /** A notification, which collectd's plugins can forward to people. */
  public ByteBuffer notification(long stampMillis, Severity severity, String message) {
    packet.reset();
    ByteArrayOutputStream out = packet;
    text(out, HOST, names.host());
    number(out, TIME_HR, highResolution(stampMillis));
    text(out, PLUGIN, Identity.PLUGIN);
    text(out, PLUGIN_INSTANCE, names.instance());
    text(out, TYPE, "lemondock_fall");
    number(out, SEVERITY, severity.number);
    text(
        out,
        MESSAGE,
        message.length() > MOST_MESSAGE ? message.substring(0, MOST_MESSAGE) : message);
    return seal.seal(packet.toByteArray());
  }

  private void begin(long stampMillis) {
    packet.reset();
    type = "";
    typeInstance = "";
    stamp = stampMillis;
    text(packet, HOST, names.host());
    number(packet, TIME_HR, highResolution(stamp));
    number(packet, INTERVAL_HR, interval);
    text(packet, PLUGIN, Identity.PLUGIN);
    text(packet, PLUGIN_INSTANCE, names.instance());
  }

  private void series(SnapshotRing.View snapshot, Series s) {
    if (!type.equals(Identity.type(s))) {
      type = Identity.type(s);
      text(piece, TYPE, type);
    }
    if (!typeInstance.equals(names.typeInstance(s))) {
      typeInstance = names.typeInstance(s);
      text(piece, TYPE_INSTANCE, typeInstance);
    }
    List<Field> fields = s.family().fields();
    head(piece, VALUES, PART_HEAD + 2 + fields.size() * (1 + Long.BYTES));
    piece.write(fields.size() >> 8);
    piece.write(fields.size());
    for (Field field : fields) {
      piece.write(field.kind() == Field.Kind.COUNTER ? counter : GAUGE);
    }
    for (int i = 0; i < fields.size(); i++) {
      long value = snapshot.values()[s.slot(i)];
      ByteBuffer eight = ByteBuffer.allocate(Long.BYTES);
      if (fields.get(i).kind() == Field.Kind.COUNTER) {
        eight.putLong(value);
      } else {
        eight
            .order(ByteOrder.LITTLE_ENDIAN)
            .putDouble(value == Snapshot.ABSENT ? Double.NaN : fields.get(i).toDouble(value));
      }
      piece.writeBytes(eight.array());
    }
  }

  private static void head(ByteArrayOutputStream to, int type, int length) {
    to.write(type >> 8);
    to.write(type);
    to.write(length >> 8);
    to.write(length);
  }

  private static void text(ByteArrayOutputStream to, int type, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    head(to, type, PART_HEAD + bytes.length + 1);
    to.writeBytes(bytes);
    to.write(0);
  }

  private static void number(ByteArrayOutputStream to, int type, long value) {
    head(to, type, PART_HEAD + Long.BYTES);
    to.writeBytes(ByteBuffer.allocate(Long.BYTES).putLong(value).array());
  }
}
