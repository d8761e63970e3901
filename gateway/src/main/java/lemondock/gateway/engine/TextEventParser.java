package lemondock.gateway.engine;

import java.nio.charset.StandardCharsets;

/**
 * Reads the event that nearly all of an answer's stream is made of, a piece of text with or without
 * counts so far, where it lies: no tree, no string, no memory of its own per event. What is
 * anything else, or not quite as usual, is not taken, and {@link EngineProtocol#parseChunk} reads
 * it; what is taken means the same there. One reader serves one stream.
 */
final class TextEventParser {
  private static final int MAX_DEPTH = 16;
  private static final int MAX_DIGITS = 9;
  private static final byte[][] TRAVERSED_FIELDS =
      asciiAll("choices", "delta", "usage", "prompt_tokens_details");
  private static final byte[] CONTENT_FIELD = ascii("content");
  private static final byte[] FINISH_REASON_FIELD = ascii("finish_reason");
  private static final byte[] COMPLETION_TOKENS_FIELD = ascii("completion_tokens");

  /** An event that has one of these says more than a piece of text. */
  private static final byte[][] UNSUPPORTED_FIELDS =
      asciiAll("tool_calls", "error", "cached_tokens");

  private final StringBuilder text = new StringBuilder();
  private final boolean[] isObjectAtDepth = new boolean[MAX_DEPTH];
  private byte[] input;
  private int position;
  private int end;
  private int completionTokens;

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[][] asciiAll(String... texts) {
    byte[][] all = new byte[texts.length][];
    for (int i = 0; i < texts.length; i++) {
      all[i] = ascii(texts[i]);
    }
    return all;
  }

  /** The text of the event taken last; good until the next. */
  CharSequence text() {
    return text;
  }

  /** The tokens so far that the event taken last told, -1 if it did not. */
  int completionTokens() {
    return completionTokens;
  }

  /** Whether the event, UTF-8 in the first bytes of an array, is a piece of text and was taken. */
  boolean parse(byte[] data, int length) {
    input = data;
    position = 0;
    end = length;
    completionTokens = -1;
    text.setLength(0);
    boolean parsed = accept('{') && parseMembers() && atEnd() && text.length() > 0;
    input = null;
    return parsed;
  }

  private boolean atEnd() {
    skipWhitespace();
    return position == end;
  }

  private void skipWhitespace() {
    while (position < end
        && (input[position] == ' '
            || input[position] == '\n'
            || input[position] == '\r'
            || input[position] == '\t')) {
      position++;
    }
  }

  /** Passes over a character that must come next. */
  private boolean accept(char expected) {
    skipWhitespace();
    if (position < end && input[position] == expected) {
      position++;
      return true;
    }
    return false;
  }

  /** What is behind the opening brace of an object whose members count, up to its end. */
  private boolean parseMembers() {
    int depth = 0;
    isObjectAtDepth[0] = true;
    boolean hasPreviousMember = false; // whether the structure at hand has had a member
    while (true) {
      skipWhitespace();
      if (position == end) {
        return false;
      }
      byte c = input[position];
      if (c == '}' || c == ']') {
        if (isObjectAtDepth[depth] != (c == '}')) {
          return false;
        }
        position++;
        if (depth == 0) {
          return true;
        }
        depth--;
        hasPreviousMember = true;
        continue;
      }
      if (hasPreviousMember && !accept(',')) {
        return false;
      }
      skipWhitespace();
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
      if (position == end) {
        return false;
      }
      hasPreviousMember = true;
      if (input[position] != '{' && input[position] != '[') {
        if (!parseScalar(nameStart, nameEnd)) {
          return false;
        }
      } else if (isObjectAtDepth[depth] && !isOneOf(TRAVERSED_FIELDS, nameStart, nameEnd)) {
        if (!skipStructure(0)) {
          return false;
        }
      } else {
        if (++depth == MAX_DEPTH) {
          return false;
        }
        isObjectAtDepth[depth] = input[position++] == '{';
        hasPreviousMember = false;
      }
    }
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

  /**
   * Passes over a name or a value without escapes, and that is plain ASCII; anything else is not
   * usual.
   */
  private boolean skipString() {
    if (position >= end || input[position] != '"') {
      return false;
    }
    for (position++; position < end; position++) {
      if (input[position] == '"') {
        position++;
        return true;
      }
      if (input[position] < ' ' || input[position] == '\\') {
        return false;
      }
    }
    return false;
  }

  private boolean parseScalar(int nameStart, int nameEnd) {
    if (input[position] == '"') {
      if (nameEquals(FINISH_REASON_FIELD, nameStart, nameEnd)) {
        return false;
      }
      return nameEquals(CONTENT_FIELD, nameStart, nameEnd) ? parseContent() : skipString();
    }
    if (input[position] >= '0' && input[position] <= '9' || input[position] == '-') {
      int valueStart = position;
      boolean valid = skipNumber();
      if (valid && nameEquals(COMPLETION_TOKENS_FIELD, nameStart, nameEnd)) {
        return parseTokenCount(valueStart);
      }
      return valid;
    }
    return acceptLiteral("null") || acceptLiteral("true") || acceptLiteral("false");
  }

  private boolean acceptLiteral(String literal) {
    if (end - position < literal.length()) {
      return false;
    }
    for (int i = 0; i < literal.length(); i++) {
      if (input[position + i] != literal.charAt(i)) {
        return false;
      }
    }
    position += literal.length();
    return true;
  }

  private boolean skipNumber() {
    if (input[position] == '-') {
      position++;
    }
    int digits = skipDigits();
    if (digits == 0 || digits > 1 && input[position - digits] == '0') {
      return false;
    }
    if (position < end && input[position] == '.') {
      position++;
      if (skipDigits() == 0) {
        return false;
      }
    }
    if (position < end && (input[position] == 'e' || input[position] == 'E')) {
      position++;
      if (position < end && (input[position] == '+' || input[position] == '-')) {
        position++;
      }
      return skipDigits() > 0;
    }
    return true;
  }

  private int skipDigits() {
    int start = position;
    while (position < end && input[position] >= '0' && input[position] <= '9') {
      position++;
    }
    return position - start;
  }

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

  /** Passes over a structure that does not count. */
  private boolean skipStructure(int depth) {
    if (depth == MAX_DEPTH) {
      return false;
    }
    boolean braces = input[position++] == '{';
    if (accept(braces ? '}' : ']')) {
      return true;
    }
    do {
      skipWhitespace();
      if (braces) {
        if (!skipString() || !accept(':')) {
          return false;
        }
        skipWhitespace();
      }
      if (position == end
          || !(input[position] == '{' || input[position] == '['
              ? skipStructure(depth + 1)
              : parseScalar(0, 0))) {
        return false;
      }
    } while (accept(','));
    return accept(braces ? '}' : ']');
  }

  // ==== the text

  private boolean parseContent() {
    text.setLength(0);
    for (position++; position < end; ) {
      int c = input[position++];
      if (c == '"') {
        return true;
      }
      if (c == '\\') {
        if (!parseEscape()) {
          return false;
        }
      } else if (c >= ' ') {
        text.append((char) c);
      } else if (c >= 0 || !parseMultiByteCharacter(c & 0xff)) {
        return false; // a control character, or no UTF-8
      }
    }
    return false;
  }

  private boolean parseEscape() {
    if (position == end) {
      return false;
    }
    int c = input[position++];
    switch (c) {
      case '"', '\\', '/' -> text.append((char) c);
      case 'n' -> text.append('\n');
      case 't' -> text.append('\t');
      case 'r' -> text.append('\r');
      case 'b' -> text.append('\b');
      case 'f' -> text.append('\f');
      case 'u' -> {
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
      }
      default -> {
        return false;
      }
    }
    return true;
  }

  /** A character of several bytes; the shortest form only, and no half of a pair (RFC 3629). */
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
    if (continuationBytes == 2 && (codePoint < 0x800 || codePoint >= 0xd800 && codePoint < 0xe000)
        || continuationBytes == 3 && (codePoint < 0x10000 || codePoint > 0x10ffff)) {
      return false;
    }
    text.appendCodePoint(codePoint);
    return true;
  }
}
