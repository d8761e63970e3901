package lemondock.gateway.engine;

/**
 * Scans JSON in a byte array without allocating memory. It supports only a subset: strings without
 * escapes, and structures of a bounded depth. {@link #accept} and the methods that skip an element
 * return whether the input was as expected. If not, {@link #accept} has skipped only white space;
 * after any other of these methods the position is undefined.
 *
 * <p>It is a base class rather than a field, so that {@link TextEventParser} accesses each byte of
 * each token without an indirection. Not thread-safe.
 */
abstract class JsonScanner {
  static final int MAX_DEPTH = 16;

  /** UTF-8 encoded; null while no input is being parsed. */
  byte[] input;

  int position;

  /** Index after the last byte of the input. */
  int end;

  /** Starts at the first byte of a new input, which consists of the first {@code length} bytes. */
  final void reset(byte[] data, int length) {
    input = data;
    position = 0;
    end = length;
  }

  final boolean atEnd() {
    skipWhitespace();
    return position == end;
  }

  final void skipWhitespace() {
    while (position < end
        && (input[position] == ' '
            || input[position] == '\n'
            || input[position] == '\r'
            || input[position] == '\t')) {
      position++;
    }
  }

  /** Skips white space and then one character, if it is the expected one. */
  final boolean accept(char expected) {
    skipWhitespace();
    if (position < end && input[position] == expected) {
      position++;
      return true;
    }
    return false;
  }

  /** Skips a string without escapes; its bytes are not checked to be valid UTF-8. */
  final boolean skipString() {
    if (position >= end || input[position] != '"') {
      return false;
    }
    for (int i = position + 1; i < end; i++) {
      byte next = input[i];
      if (next == '"') {
        position = i + 1;
        return true;
      }
      if (next < ' ' || next == '\\') {
        return false;
      }
    }
    return false;
  }

  /** Skips a string, number or literal; at least one byte must be left. */
  final boolean skipScalar() {
    if (input[position] == '"') {
      return skipString();
    }
    return atNumber()
        ? skipNumber()
        : acceptLiteral("null") || acceptLiteral("true") || acceptLiteral("false");
  }

  /** Whether a number starts here; at least one byte must be left. */
  final boolean atNumber() {
    return input[position] >= '0' && input[position] <= '9' || input[position] == '-';
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
    return skipExponent();
  }

  private boolean skipExponent() {
    if (position == end || input[position] != 'e' && input[position] != 'E') {
      return true;
    }
    position++;
    if (position < end && (input[position] == '+' || input[position] == '-')) {
      position++;
    }
    return skipDigits() > 0;
  }

  private int skipDigits() {
    int start = position;
    int next = start;
    while (next < end && input[next] >= '0' && input[next] <= '9') {
      next++;
    }
    position = next;
    return next - start;
  }

  /** Skips the object or array that starts at the current position. */
  final boolean skipStructure() {
    return skipStructure(0);
  }

  private boolean skipStructure(int depth) {
    if (depth == MAX_DEPTH) {
      return false;
    }
    boolean isObject = input[position++] == '{';
    char closing = isObject ? '}' : ']';
    if (accept(closing)) {
      return true;
    }
    do {
      skipWhitespace();
      if (isObject && !skipName()) {
        return false;
      }
      if (position == end || !skipValue(depth)) {
        return false;
      }
    } while (accept(','));
    return accept(closing);
  }

  private boolean skipName() {
    if (!skipString() || !accept(':')) {
      return false;
    }
    skipWhitespace();
    return true;
  }

  private boolean skipValue(int depth) {
    return input[position] == '{' || input[position] == '['
        ? skipStructure(depth + 1)
        : skipScalar();
  }
}
