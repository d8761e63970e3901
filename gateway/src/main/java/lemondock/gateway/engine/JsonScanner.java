package lemondock.gateway.engine;

/**
 * Passes over JSON in a byte array without memory of its own. It takes only what is usual: strings
 * without escapes, and structures of a bounded depth. Each method says whether what comes next was
 * as expected; if not, the position means nothing any more.
 *
 * <p>A base class rather than a part, so that {@link TextEventParser} reads each byte of each token
 * without a detour. One thread at a time.
 */
abstract class JsonScanner {
  static final int MAX_DEPTH = 16;

  /** UTF-8; null between two inputs. */
  byte[] input;

  int position;
  int end;

  /** Begins at the first byte; only {@code length} bytes belong to the text. */
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

  /** Passes over a character that must come next, behind any white space. */
  final boolean accept(char expected) {
    skipWhitespace();
    if (position < end && input[position] == expected) {
      position++;
      return true;
    }
    return false;
  }

  /** Passes over a string without escapes; its bytes are not checked to be UTF-8. */
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

  /** Passes over a string, number or literal; there is at least one byte. */
  final boolean skipScalar() {
    if (input[position] == '"') {
      return skipString();
    }
    return atNumber()
        ? skipNumber()
        : acceptLiteral("null") || acceptLiteral("true") || acceptLiteral("false");
  }

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

  /** Passes over the object or array that begins here. */
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
