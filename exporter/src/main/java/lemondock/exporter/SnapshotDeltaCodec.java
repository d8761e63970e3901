package lemondock.exporter;

import java.util.Arrays;

/**
 * Encodes the values of a snapshot as differences from the snapshot before: for each changed value,
 * the number of unchanged values before it and the difference, both as varints, the difference
 * zigzag-encoded. Differences wrap around as the values do. Not thread-safe.
 */
final class SnapshotDeltaCodec {
  private static final int MAX_VARINT_BYTES = 10;
  private static final int INITIAL_BYTES = 1024;
  private static final int CONTINUATION_BIT = 0x80;
  private static final int PAYLOAD_MASK = 0x7F;
  private static final int PAYLOAD_BITS = 7;

  private byte[] buffer = new byte[INITIAL_BYTES];

  /** Encodes the change from one state to the next; both must have the same length. */
  byte[] encode(long[] previous, long[] values) {
    int length = 0;
    int unchangedCount = 0;
    for (int slot = 0; slot < values.length; slot++) {
      if (values[slot] == previous[slot]) {
        unchangedCount++;
        continue;
      }
      ensureCapacity(length + 2 * MAX_VARINT_BYTES);
      length = putVarint(length, unchangedCount);
      length = putVarint(length, zigzagEncode(values[slot] - previous[slot]));
      unchangedCount = 0;
    }
    return Arrays.copyOf(buffer, length);
  }

  private void ensureCapacity(int bytes) {
    if (buffer.length < bytes) {
      buffer = Arrays.copyOf(buffer, 2 * buffer.length);
    }
  }

  private int putVarint(int position, long value) {
    long remainingBits = value;
    int nextPosition = position;
    while ((remainingBits & ~PAYLOAD_MASK) != 0) {
      buffer[nextPosition++] = (byte) (remainingBits | CONTINUATION_BIT);
      remainingBits >>>= PAYLOAD_BITS;
    }
    buffer[nextPosition++] = (byte) remainingBits;
    return nextPosition;
  }

  /** Applies an encoded change to a state, in place if the number of slots stays the same. */
  static long[] apply(long[] state, byte[] delta, int slotCount) {
    long[] values = state.length == slotCount ? state : Arrays.copyOf(state, slotCount);
    int slot = 0;
    long varint = 0;
    int shift = 0;
    boolean isSkipCount = true;
    for (byte encodedByte : delta) {
      varint |= (long) (encodedByte & PAYLOAD_MASK) << shift;
      shift += PAYLOAD_BITS;
      if (encodedByte < 0) {
        continue; // the continuation bit is the sign bit
      }
      if (isSkipCount) {
        slot += (int) varint;
      } else {
        values[slot++] += zigzagDecode(varint);
      }
      isSkipCount = !isSkipCount;
      varint = 0;
      shift = 0;
    }
    return values;
  }

  private static long zigzagEncode(long value) {
    return value << 1 ^ value >> 63;
  }

  private static long zigzagDecode(long value) {
    return value >>> 1 ^ -(value & 1);
  }
}
