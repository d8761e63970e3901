package lemondock.net.http;

import java.nio.ByteBuffer;
import java.util.Arrays;
import lemondock.net.ByteBudget;

/**
 * The content of one request while it arrives. Its memory, up to twice the content while it grows,
 * is reserved in a budget before it is allocated. For use by one thread at a time.
 */
final class BodyBuffer {
  /**
   * Maximum bytes of a small body. A part of the budget is reserved for small bodies, so that large
   * ones together cannot use it up.
   */
  private static final int SMALL_BODY_BYTES = 16 * 1024;

  /** Fraction of the budget that is available to large bodies and heads. */
  static final double LARGE_REQUESTS_FRACTION = 0.75;

  private static final byte[] EMPTY = new byte[0];

  private final ByteBudget budget;

  /** Holds the content at its beginning; all of its bytes are reserved. */
  private byte[] bytes = EMPTY;

  private int size;

  BodyBuffer(ByteBudget budget) {
    this.budget = budget;
  }

  /** Content bytes so far. */
  int size() {
    return size;
  }

  /**
   * Appends a copy of the remaining bytes of a piece.
   *
   * @param expectedBytes upper bound on the bytes of the whole content; exact if its length was
   *     announced, so that {@link #take} needs no copy
   * @return false, with nothing appended, if the budget has no room
   */
  boolean append(ByteBuffer piece, long expectedBytes) {
    int count = piece.remaining();
    if (!ensureCapacity(size + count, expectedBytes)) {
      return false;
    }
    piece.get(piece.position(), bytes, size, count);
    size += count;
    return true;
  }

  private boolean ensureCapacity(int needed, long expectedBytes) {
    if (needed <= bytes.length) {
      return true;
    }
    int capacity = (int) Math.max(needed, Math.min(2L * bytes.length, expectedBytes));
    int growth = capacity - bytes.length;
    boolean reserved =
        capacity <= SMALL_BODY_BYTES
            ? budget.tryReserve(growth)
            : budget.tryReserveWithin(LARGE_REQUESTS_FRACTION, growth);
    if (reserved) {
      bytes = Arrays.copyOf(bytes, capacity);
    }
    return reserved;
  }

  /** A copy of the content so far. */
  byte[] copy() {
    return Arrays.copyOf(bytes, size);
  }

  /**
   * Removes and returns the content. Only its own length stays reserved; the caller releases it.
   */
  byte[] take() {
    final byte[] content = bytes.length == size ? bytes : copy();
    budget.release(bytes.length - size);
    bytes = EMPTY;
    size = 0;
    return content;
  }

  /** Drops the content and releases its reservation. */
  void drop() {
    budget.release(bytes.length);
    bytes = EMPTY;
    size = 0;
  }
}
