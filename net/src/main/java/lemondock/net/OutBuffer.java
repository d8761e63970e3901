package lemondock.net;

import java.util.Arrays;

/**
 * A reusable buffer for outgoing bytes, with room in front where a frame's head can be set once the
 * length is known. One owner uses it again and again, so that a message costs no memory of its own.
 * For one thread at a time.
 */
public final class OutBuffer {
  /** Bytes kept in front: enough for the head of a chunk of any length. */
  public static final int FRAME_HEAD_BYTES = 16;

  /** A buffer that a single large message made longer is not kept. */
  private static final int MAX_KEPT_BYTES = 1_024;

  private static final int MAX_DIGITS = 20;

  private final int usualBytes;
  private byte[] bytes;
  private int offset = FRAME_HEAD_BYTES;
  private int end = FRAME_HEAD_BYTES;

  /** Makes an empty buffer for messages of so many bytes; a longer one makes it grow. */
  public OutBuffer(int usualBytes) {
    this.usualBytes = usualBytes;
    this.bytes = new byte[FRAME_HEAD_BYTES + usualBytes];
  }

  /** Empties it; memory that a single large message took is released. */
  public OutBuffer reset() {
    if (bytes.length > MAX_KEPT_BYTES + FRAME_HEAD_BYTES
        && bytes.length > usualBytes + FRAME_HEAD_BYTES) {
      bytes = new byte[FRAME_HEAD_BYTES + usualBytes];
    }
    offset = FRAME_HEAD_BYTES;
    end = FRAME_HEAD_BYTES;
    return this;
  }

  /**
   * The array; what counts is from {@link #offset} on for {@link #length} bytes, until the next
   * change.
   */
  public byte[] array() {
    return bytes;
  }

  /** Where the content begins in {@link #array}. */
  public int offset() {
    return offset;
  }

  /** How many bytes it holds. */
  public int length() {
    return end - offset;
  }

  /** Adds one byte. */
  public OutBuffer add(int value) {
    reserve(1);
    bytes[end++] = (byte) value;
    return this;
  }

  /** Adds bytes. */
  public OutBuffer add(byte[] more) {
    return add(more, 0, more.length);
  }

  /** Adds a part of an array. */
  public OutBuffer add(byte[] more, int from, int length) {
    reserve(length);
    System.arraycopy(more, from, bytes, end, length);
    end += length;
    return this;
  }

  /** Adds a number that is not negative, in decimal. */
  public OutBuffer addDecimal(long value) {
    reserve(MAX_DIGITS);
    int digits = 1;
    for (long rest = value / 10; rest > 0; rest /= 10) {
      digits++;
    }
    long rest = value;
    for (int i = end + digits - 1; i >= end; i--) {
      bytes[i] = (byte) ('0' + rest % 10);
      rest /= 10;
    }
    end += digits;
    return this;
  }

  /**
   * Adds the character at an index of a text in UTF-8, both halves of a pair at once; gives the
   * index of the next one.
   */
  public int addCharacterAt(CharSequence text, int at) {
    char c = text.charAt(at);
    reserve(4);
    if (c < 0x80) {
      bytes[end++] = (byte) c;
    } else if (c < 0x800) {
      bytes[end++] = (byte) (0xc0 | c >> 6);
      bytes[end++] = (byte) (0x80 | c & 0x3f);
    } else if (!Character.isSurrogate(c)) {
      bytes[end++] = (byte) (0xe0 | c >> 12);
      bytes[end++] = (byte) (0x80 | c >> 6 & 0x3f);
      bytes[end++] = (byte) (0x80 | c & 0x3f);
    } else if (Character.isHighSurrogate(c)
        && at + 1 < text.length()
        && Character.isLowSurrogate(text.charAt(at + 1))) {
      int point = Character.toCodePoint(c, text.charAt(at + 1));
      bytes[end++] = (byte) (0xf0 | point >> 18);
      bytes[end++] = (byte) (0x80 | point >> 12 & 0x3f);
      bytes[end++] = (byte) (0x80 | point >> 6 & 0x3f);
      bytes[end++] = (byte) (0x80 | point & 0x3f);
      return at + 2;
    } else {
      bytes[end++] = '?'; // half a pair is no character; String.getBytes says the same
    }
    return at + 1;
  }

  /** Adds a text in UTF-8. */
  public OutBuffer addUtf8(CharSequence text) {
    for (int at = 0; at < text.length(); ) {
      at = addCharacterAt(text, at);
    }
    return this;
  }

  /** Frames the content as one chunk of HTTP/1.1. */
  public OutBuffer frameAsChunk() {
    int remaining = length();
    bytes[--offset] = '\n';
    bytes[--offset] = '\r';
    do {
      int digit = remaining & 0xf;
      bytes[--offset] = (byte) (digit < 10 ? '0' + digit : 'a' + digit - 10);
      remaining >>>= 4;
    } while (remaining > 0);
    return add('\r').add('\n');
  }

  private void reserve(int more) {
    if (end + more > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(end + more, 2 * bytes.length));
    }
  }
}
