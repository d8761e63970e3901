package lemondock.gateway.engine;

import java.nio.charset.StandardCharsets;

/**
 * Reads the event that nearly all of an answer's stream is made of, a piece of text with or without
 * counts so far, where it lies: no tree, no string, no memory of its own per event. What is
 * anything else, or not quite as usual, is not taken, and {@link EngineProtocol#chunk} reads it;
 * what is taken means the same there. One reader serves one stream.
 */
final class TextEventParser {
  private static final int DEEPEST = 16;
  private static final int MOST_DIGITS = 9;
  private static final byte[][] ENTERED =
      names("choices", "delta", "usage", "prompt_tokens_details");
  private static final byte[] CONTENT = name("content");
  private static final byte[] FINISH = name("finish_reason");
  private static final byte[] TOKENS = name("completion_tokens");

  /** An event that has one of these says more than a piece of text. */
  private static final byte[][] MORE = names("tool_calls", "error", "cached_tokens");

  private final StringBuilder text = new StringBuilder();
  private final boolean[] object = new boolean[DEEPEST];
  private byte[] in;
  private int at;
  private int end;
  private int answerTokens;

  private static byte[] name(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[][] names(String... texts) {
    byte[][] all = new byte[texts.length][];
    for (int i = 0; i < texts.length; i++) {
      all[i] = name(texts[i]);
    }
    return all;
  }

  /** The text of the event taken last; good until the next. */
  CharSequence text() {
    return text;
  }

  /** The tokens so far that the event taken last told, -1 if it did not. */
  int answerTokens() {
    return answerTokens;
  }

  /** Whether the event, UTF-8 in the first bytes of an array, is a piece of text and was taken. */
  boolean take(byte[] data, int length) {
    in = data;
    at = 0;
    end = length;
    answerTokens = -1;
    text.setLength(0);
    boolean taken = is('{') && members() && atEnd() && text.length() > 0;
    in = null;
    return taken;
  }

  private boolean atEnd() {
    space();
    return at == end;
  }

  private void space() {
    while (at < end && (in[at] == ' ' || in[at] == '\n' || in[at] == '\r' || in[at] == '\t')) {
      at++;
    }
  }

  /** Passes over a character that must come next. */
  private boolean is(char wanted) {
    space();
    if (at < end && in[at] == wanted) {
      at++;
      return true;
    }
    return false;
  }

  /** What is behind the opening brace of an object whose members count, up to its end. */
  private boolean members() {
    int depth = 0;
    object[0] = true;
    boolean begun = false; // whether the structure at hand has had a member
    while (true) {
      space();
      if (at == end) {
        return false;
      }
      byte c = in[at];
      if (c == '}' || c == ']') {
        if (object[depth] != (c == '}')) {
          return false;
        }
        at++;
        if (depth == 0) {
          return true;
        }
        depth--;
        begun = true;
        continue;
      }
      if (begun && !is(',')) {
        return false;
      }
      space();
      int from = 0;
      int to = 0;
      if (object[depth]) {
        from = at + 1;
        if (!string()) {
          return false;
        }
        to = at - 1;
        if (one(MORE, from, to) || !is(':')) {
          return false;
        }
        space();
      }
      if (at == end) {
        return false;
      }
      begun = true;
      if (in[at] != '{' && in[at] != '[') {
        if (!scalar(from, to)) {
          return false;
        }
      } else if (object[depth] && !one(ENTERED, from, to)) {
        if (!skip(0)) {
          return false;
        }
      } else {
        if (++depth == DEEPEST) {
          return false;
        }
        object[depth] = in[at++] == '{';
        begun = false;
      }
    }
  }

  private boolean one(byte[][] names, int from, int to) {
    for (byte[] name : names) {
      if (same(name, from, to)) {
        return true;
      }
    }
    return false;
  }

  private boolean same(byte[] name, int from, int to) {
    if (to - from != name.length) {
      return false;
    }
    for (int i = 0; i < name.length; i++) {
      if (in[from + i] != name[i]) {
        return false;
      }
    }
    return true;
  }

  /**
   * Passes over a name or a value without escapes, and that is plain ASCII; anything else is not
   * usual.
   */
  private boolean string() {
    if (at >= end || in[at] != '"') {
      return false;
    }
    for (at++; at < end; at++) {
      if (in[at] == '"') {
        at++;
        return true;
      }
      if (in[at] < ' ' || in[at] == '\\') {
        return false;
      }
    }
    return false;
  }

  private boolean scalar(int from, int to) {
    if (in[at] == '"') {
      if (same(FINISH, from, to)) {
        return false;
      }
      return same(CONTENT, from, to) ? content() : string();
    }
    if (in[at] >= '0' && in[at] <= '9' || in[at] == '-') {
      int begun = at;
      boolean whole = number();
      if (whole && same(TOKENS, from, to)) {
        return count(begun);
      }
      return whole;
    }
    return word("null") || word("true") || word("false");
  }

  private boolean word(String wanted) {
    if (end - at < wanted.length()) {
      return false;
    }
    for (int i = 0; i < wanted.length(); i++) {
      if (in[at + i] != wanted.charAt(i)) {
        return false;
      }
    }
    at += wanted.length();
    return true;
  }

  private boolean number() {
    if (in[at] == '-') {
      at++;
    }
    int digits = digits();
    if (digits == 0 || digits > 1 && in[at - digits] == '0') {
      return false;
    }
    if (at < end && in[at] == '.') {
      at++;
      if (digits() == 0) {
        return false;
      }
    }
    if (at < end && (in[at] == 'e' || in[at] == 'E')) {
      at++;
      if (at < end && (in[at] == '+' || in[at] == '-')) {
        at++;
      }
      return digits() > 0;
    }
    return true;
  }

  private int digits() {
    int from = at;
    while (at < end && in[at] >= '0' && in[at] <= '9') {
      at++;
    }
    return at - from;
  }

  private boolean count(int from) {
    if (at - from > MOST_DIGITS) {
      return false;
    }
    int value = 0;
    for (int i = from; i < at; i++) {
      if (in[i] < '0' || in[i] > '9') {
        return false;
      }
      value = 10 * value + in[i] - '0';
    }
    answerTokens = value;
    return true;
  }

  /** Passes over a structure that does not count. */
  private boolean skip(int depth) {
    if (depth == DEEPEST) {
      return false;
    }
    boolean braces = in[at++] == '{';
    if (is(braces ? '}' : ']')) {
      return true;
    }
    do {
      space();
      if (braces) {
        if (!string() || !is(':')) {
          return false;
        }
        space();
      }
      if (at == end || !(in[at] == '{' || in[at] == '[' ? skip(depth + 1) : scalar(0, 0))) {
        return false;
      }
    } while (is(','));
    return is(braces ? '}' : ']');
  }

  // ==== the text

  private boolean content() {
    text.setLength(0);
    for (at++; at < end; ) {
      int c = in[at++];
      if (c == '"') {
        return true;
      }
      if (c == '\\') {
        if (!escape()) {
          return false;
        }
      } else if (c >= ' ') {
        text.append((char) c);
      } else if (c >= 0 || !wide(c & 0xff)) {
        return false; // a control character, or no UTF-8
      }
    }
    return false;
  }

  private boolean escape() {
    if (at == end) {
      return false;
    }
    int c = in[at++];
    switch (c) {
      case '"', '\\', '/' -> text.append((char) c);
      case 'n' -> text.append('\n');
      case 't' -> text.append('\t');
      case 'r' -> text.append('\r');
      case 'b' -> text.append('\b');
      case 'f' -> text.append('\f');
      case 'u' -> {
        if (end - at < 4) {
          return false;
        }
        int value = 0;
        for (int i = 0; i < 4; i++) {
          int digit = Character.digit(in[at++], 16);
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
  private boolean wide(int lead) {
    int more = lead >= 0xf0 ? 3 : lead >= 0xe0 ? 2 : 1;
    if (lead < 0xc2 || lead > 0xf4 || end - at < more) {
      return false;
    }
    int point = lead & 0x3f >> more;
    for (int i = 0; i < more; i++) {
      if ((in[at] & 0xc0) != 0x80) {
        return false;
      }
      point = point << 6 | in[at++] & 0x3f;
    }
    if (more == 2 && (point < 0x800 || point >= 0xd800 && point < 0xe000)
        || more == 3 && (point < 0x10000 || point > 0x10ffff)) {
      return false;
    }
    text.appendCodePoint(point);
    return true;
  }
}
