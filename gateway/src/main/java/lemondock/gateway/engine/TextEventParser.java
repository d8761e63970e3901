package lemondock.gateway.engine;

import java.nio.charset.StandardCharsets;

/**
 * Parses the most frequent event of an answer's stream, a piece of text with or without token
 * counts, in place: it builds neither a tree nor a string and allocates no memory per event. Any
 * other event or unusual encoding is rejected and left to {@link CompletionChunkParser}, which
 * would give the same text and completion tokens for every event that is accepted here. One parser
 * serves one stream, on its I/O thread.
 */
final class TextEventParser extends JsonScanner {
  private static final int MAX_DIGITS = 9;
  private static final byte[][] TRAVERSED_FIELDS =
      asciiAll("choices", "delta", "usage", "prompt_tokens_details");
  private static final byte[] CONTENT_FIELD = ascii("content");
  private static final byte[] FINISH_REASON_FIELD = ascii("finish_reason");
  private static final byte[] COMPLETION_TOKENS_FIELD = ascii("completion_tokens");

  /** Fields of events that contain more than a piece of text; such events are rejected. */
  private static final byte[][] UNSUPPORTED_FIELDS =
      asciiAll("tool_calls", "error", "cached_tokens");

  private final StringBuilder text = new StringBuilder();
  private int completionTokens;

  // The traversed structures that enclose the current position.
  private final boolean[] isObjectAtDepth = new boolean[MAX_DEPTH];
  private int depth;
  private boolean hasPreviousMember;

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[][] asciiAll(String... texts) {
    byte[][] encodedTexts = new byte[texts.length][];
    for (int i = 0; i < texts.length; i++) {
      encodedTexts[i] = ascii(texts[i]);
    }
    return encodedTexts;
  }

  /** The text of the last accepted event; valid until the next call of {@link #parse}. */
  CharSequence text() {
    return text;
  }

  /**
   * The number of completion tokens in the last accepted event, or {@link
   * CompletionChunk#NOT_REPORTED}.
   */
  int completionTokens() {
    return completionTokens;
  }

  /**
   * Parses an event.
   *
   * @param data contains the event in its first bytes, encoded in UTF-8
   * @param length number of bytes of the event
   * @return whether the event is a piece of text in the supported form and was accepted
   */
  boolean parse(byte[] data, int length) {
    reset(data, length);
    completionTokens = CompletionChunk.NOT_REPORTED;
    text.setLength(0);
    boolean parsed = accept('{') && parseMembers() && atEnd() && text.length() > 0;
    input = null;
    return parsed;
  }

  /** Parses the rest of the event after its opening brace, including the closing brace. */
  private boolean parseMembers() {
    depth = 0;
    isObjectAtDepth[0] = true;
    hasPreviousMember = false;
    while (depth >= 0) {
      skipWhitespace();
      if (position == end) {
        return false;
      }
      byte next = input[position];
      boolean valid = next == '}' || next == ']' ? closeStructure(next == '}') : parseMember();
      if (!valid) {
        return false;
      }
    }
    return true;
  }

  private boolean closeStructure(boolean isObject) {
    if (isObjectAtDepth[depth] != isObject) {
      return false;
    }
    position++;
    depth--;
    hasPreviousMember = true;
    return true;
  }

  private boolean openStructure() {
    depth++;
    if (depth == MAX_DEPTH) {
      return false;
    }
    isObjectAtDepth[depth] = input[position++] == '{';
    hasPreviousMember = false;
    return true;
  }

  /** Parses a member of an object or an element of an array, including a preceding comma. */
  private boolean parseMember() {
    if (hasPreviousMember) {
      if (!accept(',')) {
        return false;
      }
      skipWhitespace();
    }
    int nameStart = 0;
    int nameEnd = 0;
    if (isObjectAtDepth[depth]) {
      nameStart = position + 1;
      if (!skipString()) {
        return false;
      }
      nameEnd = position - 1;
      if (isOneOf(UNSUPPORTED_FIELDS, nameStart, nameEnd) || !accept(':')) {
        return false;
      }
      skipWhitespace();
    }
    hasPreviousMember = true;
    return position < end && parseValue(nameStart, nameEnd);
  }

  private boolean parseValue(int nameStart, int nameEnd) {
    if (input[position] != '{' && input[position] != '[') {
      return parseScalar(nameStart, nameEnd);
    }
    return isObjectAtDepth[depth] && !isOneOf(TRAVERSED_FIELDS, nameStart, nameEnd)
        ? skipStructure()
        : openStructure();
  }

  private boolean isOneOf(byte[][] names, int nameStart, int nameEnd) {
    for (byte[] name : names) {
      if (nameEquals(name, nameStart, nameEnd)) {
        return true;
      }
    }
    return false;
  }

  private boolean nameEquals(byte[] name, int nameStart, int nameEnd) {
    if (nameEnd - nameStart != name.length) {
      return false;
    }
    for (int i = 0; i < name.length; i++) {
      if (input[nameStart + i] != name[i]) {
        return false;
      }
    }
    return true;
  }

  private boolean parseScalar(int nameStart, int nameEnd) {
    if (input[position] == '"') {
      if (nameEquals(FINISH_REASON_FIELD, nameStart, nameEnd)) {
        return false;
      }
      return nameEquals(CONTENT_FIELD, nameStart, nameEnd) ? parseContent() : skipString();
    }
    if (atNumber() && nameEquals(COMPLETION_TOKENS_FIELD, nameStart, nameEnd)) {
      int start = position;
      return skipScalar() && parseTokenCount(start);
    }
    return skipScalar();
  }

  /** Parses the integer from a start index up to the current position. */
  private boolean parseTokenCount(int start) {
    if (position - start > MAX_DIGITS) {
      return false;
    }
    int value = 0;
    for (int i = start; i < position; i++) {
      if (input[i] < '0' || input[i] > '9') {
        return false;
      }
      value = 10 * value + input[i] - '0';
    }
    completionTokens = value;
    return true;
  }

  // Parsing of the content string, including escapes.

  private boolean parseContent() {
    text.setLength(0);
    for (position++; position < end; ) {
      int nextByte = input[position++];
      if (nextByte == '"') {
        return true;
      }
      if (nextByte == '\\') {
        if (!parseEscape()) {
          return false;
        }
      } else if (nextByte >= ' ') {
        text.append((char) nextByte);
      } else if (nextByte >= 0 || !parseMultiByteCharacter(nextByte & 0xff)) {
        return false; // a control character or invalid UTF-8
      }
    }
    return false;
  }

  private boolean parseEscape() {
    if (position == end) {
      return false;
    }
    int escapedChar = input[position++];
    switch (escapedChar) {
      case '"', '\\', '/' -> text.append((char) escapedChar);
      case 'n' -> text.append('\n');
      case 't' -> text.append('\t');
      case 'r' -> text.append('\r');
      case 'b' -> text.append('\b');
      case 'f' -> text.append('\f');
      case 'u' -> {
        return parseUnicodeEscape();
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  private boolean parseUnicodeEscape() {
    if (end - position < 4) {
      return false;
    }
    int value = 0;
    for (int i = 0; i < 4; i++) {
      int digit = Character.digit(input[position++], 16);
      if (digit < 0) {
        return false;
      }
      value = value << 4 | digit;
    }
    text.append((char) value);
    return true;
  }

  /**
   * Parses a multi-byte character. Overlong encodings and surrogates are rejected, as RFC 3629
   * demands.
   */
  private boolean parseMultiByteCharacter(int leadByte) {
    int continuationBytes = leadByte >= 0xf0 ? 3 : leadByte >= 0xe0 ? 2 : 1;
    if (leadByte < 0xc2 || leadByte > 0xf4 || end - position < continuationBytes) {
      return false;
    }
    int codePoint = leadByte & 0x3f >> continuationBytes;
    for (int i = 0; i < continuationBytes; i++) {
      if ((input[position] & 0xc0) != 0x80) {
        return false;
      }
      codePoint = codePoint << 6 | input[position++] & 0x3f;
    }
    if (!isValidCodePoint(codePoint, continuationBytes)) {
      return false;
    }
    text.appendCodePoint(codePoint);
    return true;
  }

  /** Whether the encoding is the shortest one and the code point is not a surrogate. */
  private static boolean isValidCodePoint(int codePoint, int continuationBytes) {
    return switch (continuationBytes) {
      case 3 -> codePoint >= 0x10000 && codePoint <= Character.MAX_CODE_POINT;
      case 2 -> codePoint >= 0x800 && (codePoint < 0xd800 || codePoint >= 0xe000);
      default -> true;
    };
  }
}
