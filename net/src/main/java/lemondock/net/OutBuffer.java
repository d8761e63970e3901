package lemondock.net;

import java.util.Arrays;

/**
 * A reusable buffer for outgoing bytes, with room in front for a frame header that is written once
 * the length is known. The owner reuses the buffer, so a message needs no allocation of its own.
 * For use by one thread at a time.
 */
public final class OutBuffer {
  /** Bytes reserved in front: enough for the header of a chunk of any length. */
  public static final int FRAME_HEAD_BYTES = 16;

  /** {@link #reset} releases an array that a single large message made longer than this. */
  private static final int MAX_RETAINED_BYTES = 1_024;

  private static final int MAX_DIGITS = 20;

  private final int initialBytes;
  private byte[] bytes;
  private int offset = FRAME_HEAD_BYTES;
  private int end = FRAME_HEAD_BYTES;

  /** Creates an empty buffer with room for that many bytes; it grows for longer messages. */
  public OutBuffer(int initialBytes) {
    this.initialBytes = initialBytes;
    this.bytes = new byte[FRAME_HEAD_BYTES + initialBytes];
  }

  /** Empties the buffer; memory allocated for a single large message is released. */
  public OutBuffer reset() {
    if (bytes.length > MAX_RETAINED_BYTES + FRAME_HEAD_BYTES
        && bytes.length > initialBytes + FRAME_HEAD_BYTES) {
      bytes = new byte[FRAME_HEAD_BYTES + initialBytes];
    }
    offset = FRAME_HEAD_BYTES;
    end = FRAME_HEAD_BYTES;
    return this;
  }

  /**
   * The backing array. The content starts at {@link #offset} and has {@link #length} bytes, until
   * the next change.
   */
  public byte[] array() {
    return bytes;
  }

  /** Where the content begins in {@link #array}. */
  public int offset() {
    return offset;
  }

  /** Content length in bytes. */
  public int length() {
    return end - offset;
  }

  /** Appends one byte. */
  public OutBuffer add(int value) {
    reserve(1);
    bytes[end++] = (byte) value;
    return this;
  }

  /** Appends a whole array. */
  public OutBuffer add(byte[] source) {
    return add(source, 0, source.length);
  }

  /** Appends a part of an array. */
  public OutBuffer add(byte[] source, int from, int length) {
    reserve(length);
    System.arraycopy(source, from, bytes, end, length);
    end += length;
    return this;
  }

  /** Appends a non-negative number in decimal. */
  public OutBuffer addDecimal(long value) {
    reserve(MAX_DIGITS);
    int digits = 1;
    for (long remaining = value / 10; remaining > 0; remaining /= 10) {
      digits++;
    }
    long remaining = value;
    for (int i = end + digits - 1; i >= end; i--) {
      bytes[i] = (byte) ('0' + remaining % 10);
      remaining /= 10;
    }
    end += digits;
    return this;
  }

  /**
   * Appends the character at an index of a text in UTF-8, both halves of a surrogate pair at once.
   * Returns the index of the next character.
   */
  public int addCharacterAt(CharSequence text, int index) {
    char character = text.charAt(index);
    reserve(4);
    if (character < 0x80) {
      bytes[end++] = (byte) character;
    } else if (character < 0x800) {
      bytes[end++] = (byte) (0xc0 | character >> 6);
      bytes[end++] = (byte) (0x80 | character & 0x3f);
    } else if (!Character.isSurrogate(character)) {
      bytes[end++] = (byte) (0xe0 | character >> 12);
      bytes[end++] = (byte) (0x80 | character >> 6 & 0x3f);
      bytes[end++] = (byte) (0x80 | character & 0x3f);
    } else if (Character.isHighSurrogate(character)
        && index + 1 < text.length()
        && Character.isLowSurrogate(text.charAt(index + 1))) {
      int codePoint = Character.toCodePoint(character, text.charAt(index + 1));
      bytes[end++] = (byte) (0xf0 | codePoint >> 18);
      bytes[end++] = (byte) (0x80 | codePoint >> 12 & 0x3f);
      bytes[end++] = (byte) (0x80 | codePoint >> 6 & 0x3f);
      bytes[end++] = (byte) (0x80 | codePoint & 0x3f);
      return index + 2;
    } else {
      bytes[end++] = '?'; // an unpaired surrogate; String.getBytes encodes it the same way
    }
    return index + 1;
  }

  /** Appends a text in UTF-8. */
  public OutBuffer addUtf8(CharSequence text) {
    for (int index = 0; index < text.length(); ) {
      index = addCharacterAt(text, index);
    }
    return this;
  }

  /** Frames the content as one HTTP/1.1 chunk. */
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

  private void reserve(int additionalBytes) {
    if (end + additionalBytes > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(end + additionalBytes, 2 * bytes.length));
    }
  }
}
