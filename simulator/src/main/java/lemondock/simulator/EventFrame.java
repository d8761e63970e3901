package lemondock.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.policy.ServerEntry;

/** One batch of events: a header, records of a fixed size, and a tail with texts and lists. */
final class EventFrame {
  static final double MICROS_PER_MILLI = 1000.0;

  private static final int HEADER_BYTES = 16;

  private final long number;
  private final ByteBuffer body;
  private final int recordCount;
  private final long nowMicros;

  private EventFrame(long number, ByteBuffer body, int recordCount, long nowMicros) {
    this.number = number;
    this.body = body;
    this.recordCount = recordCount;
    this.nowMicros = nowMicros;
  }

  /**
   * Reads the next frame; empty at the end of the input.
   *
   * @param number the number of the frame, from 1, for error messages
   * @throws MalformedInputException if the input ends within the frame or the header is
   *     inconsistent
   */
  static Optional<EventFrame> read(InputStream in, long number) throws IOException {
    byte[] header = in.readNBytes(HEADER_BYTES);
    if (header.length == 0) {
      return Optional.empty();
    }
    if (header.length < HEADER_BYTES) {
      throw malformed(
          number,
          "input ends within the header, after "
              + header.length
              + " of "
              + HEADER_BYTES
              + " bytes");
    }
    ByteBuffer fields = ByteBuffer.wrap(header).order(ByteOrder.LITTLE_ENDIAN);
    final long length = fields.getInt() & 0xffffffffL;
    final long count = fields.getInt() & 0xffffffffL;
    double clockMillis = fields.getDouble();
    if (!Double.isFinite(clockMillis)) {
      throw malformed(number, "expected a finite clock, found " + clockMillis);
    }
    if (count * EventRecord.BYTES > length || length > Integer.MAX_VALUE - HEADER_BYTES) {
      throw malformed(number, count + " records do not fit into the body of " + length + " bytes");
    }
    byte[] body = in.readNBytes((int) length);
    if (body.length < length) {
      throw malformed(
          number, "input ends after " + body.length + " of " + length + " bytes of the body");
    }
    return Optional.of(
        new EventFrame(
            number,
            ByteBuffer.wrap(body).order(ByteOrder.LITTLE_ENDIAN),
            (int) count,
            micros(clockMillis)));
  }

  int recordCount() {
    return recordCount;
  }

  /** Returns the time of all events of the frame. */
  long nowMicros() {
    return nowMicros;
  }

  EventRecord record(int index) {
    return new EventRecord(this, body, index * EventRecord.BYTES);
  }

  /** Returns a UTF-8 text from the tail. */
  String text(long tailOffset, long length) {
    long start = tailStart() + tailOffset;
    if (start + length > body.limit()) {
      throw malformed(
          "text of "
              + length
              + " bytes at tail offset "
              + tailOffset
              + " reaches past the end of the frame");
    }
    return new String(body.array(), (int) start, (int) length, StandardCharsets.UTF_8);
  }

  /** Returns an endpoint list from the tail. */
  List<ServerEntry> endpoints(long tailOffset, long count) {
    long start = tailStart() + tailOffset;
    if (start + count * EndpointEntry.BYTES > body.limit()) {
      throw malformed(
          "list of "
              + count
              + " servers at tail offset "
              + tailOffset
              + " reaches past the end of the frame");
    }
    List<ServerEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      entries.add(EndpointEntry.read(this, body, (int) start + i * EndpointEntry.BYTES));
    }
    return List.copyOf(entries);
  }

  private int tailStart() {
    return recordCount * EventRecord.BYTES;
  }

  /** Creates the exception for a problem in this frame. */
  MalformedInputException malformed(String problem) {
    return malformed(number, problem);
  }

  private static MalformedInputException malformed(long number, String problem) {
    return new MalformedInputException("frame " + number + ": " + problem);
  }

  static long unsignedInt(ByteBuffer body, int offset) {
    return body.getInt(offset) & 0xffffffffL;
  }

  static int unsignedShort(ByteBuffer body, int offset) {
    return body.getShort(offset) & 0xffff;
  }

  static int unsignedByte(ByteBuffer body, int offset) {
    return body.get(offset) & 0xff;
  }

  static long micros(double millis) {
    return Math.round(millis * MICROS_PER_MILLI);
  }
}
