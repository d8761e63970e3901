package lemondock.gateway.mcp;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import lemondock.rpc.Mcp;

/**
 * Finds the name of the called tool in the first bytes of a request body, at a hundredth of the
 * cost of parsing it. Handles only simple cases and leaves the others to the parser. The result is
 * used only to decide whether to reject the call. Any thread.
 */
final class ToolNameScanner {
  /** Number of leading bytes that are scanned; later bytes do not change the result. */
  static final int SCAN_LIMIT_BYTES = 600;

  private static final int MAX_NAME_LENGTH = 128;
  private static final byte[] METHOD_LITERAL =
      ('"' + Mcp.TOOLS_CALL + '"').getBytes(StandardCharsets.US_ASCII);
  private static final byte[] NAME_KEY = "\"name\"".getBytes(StandardCharsets.US_ASCII);

  private ToolNameScanner() {}

  /**
   * Returns the tool that a single {@code tools/call} names; empty if the body does not begin like
   * such a call.
   */
  static Optional<String> toolName(byte[] body) {
    int limit = Math.min(SCAN_LIMIT_BYTES, body.length);
    if (limit == 0 || body[0] != '{' || indexOf(body, METHOD_LITERAL, limit) < 0) {
      return Optional.empty();
    }
    int key = indexOf(body, NAME_KEY, limit);
    if (key < 0) {
      return Optional.empty();
    }
    int colon = skipWhitespace(body, key + NAME_KEY.length, limit);
    if (colon >= limit || body[colon] != ':') {
      return Optional.empty();
    }
    int quote = skipWhitespace(body, colon + 1, limit);
    if (quote >= limit || body[quote] != '"') {
      return Optional.empty();
    }
    return readStringWithoutEscapes(body, quote + 1, limit);
  }

  private static Optional<String> readStringWithoutEscapes(byte[] body, int start, int limit) {
    int end = start;
    while (end < limit && end - start < MAX_NAME_LENGTH && body[end] != '"' && body[end] != '\\') {
      end++;
    }
    return end < limit && body[end] == '"'
        ? Optional.of(new String(body, start, end - start, StandardCharsets.UTF_8))
        : Optional.empty();
  }

  private static int skipWhitespace(byte[] body, int from, int limit) {
    int position = from;
    while (position < limit
        && (body[position] == ' '
            || body[position] == '\n'
            || body[position] == '\r'
            || body[position] == '\t')) {
      position++;
    }
    return position;
  }

  private static int indexOf(byte[] body, byte[] pattern, int limit) {
    outer:
    for (int i = 0; i + pattern.length <= limit; i++) {
      for (int j = 0; j < pattern.length; j++) {
        if (body[i + j] != pattern[j]) {
          continue outer;
        }
      }
      return i;
    }
    return -1;
  }
}
