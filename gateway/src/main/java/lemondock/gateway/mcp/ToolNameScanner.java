package lemondock.gateway.mcp;

import java.nio.charset.StandardCharsets;
import lemondock.rpc.Mcp;

/**
 * A glance at the beginning of a request's content: which tool it calls, if that is plain to see,
 * for a hundredth of the cost of parsing it. What it does not see is left to the parser, and what
 * it sees decides only whether the call is refused.
 */
final class ToolNameScanner {
  /** Bytes from which on more of the content changes nothing. */
  static final int SCAN_LIMIT_BYTES = 600;

  private static final int MAX_NAME_LENGTH = 128;
  private static final byte[] METHOD_LITERAL =
      ('"' + Mcp.TOOLS_CALL + '"').getBytes(StandardCharsets.US_ASCII);
  private static final byte[] NAME_KEY = "\"name\"".getBytes(StandardCharsets.US_ASCII);

  private ToolNameScanner() {}

  /** The tool that a single {@code tools/call} names; null if it does not begin like one. */
  static String toolName(byte[] body) {
    int limit = Math.min(SCAN_LIMIT_BYTES, body.length);
    if (limit == 0 || body[0] != '{' || indexOf(body, METHOD_LITERAL, 0, limit) < 0) {
      return null;
    }
    int position = indexOf(body, NAME_KEY, 0, limit);
    if (position < 0) {
      return null;
    }
    position = skipWhitespace(body, position + NAME_KEY.length, limit);
    if (position >= limit || body[position] != ':') {
      return null;
    }
    position = skipWhitespace(body, position + 1, limit);
    if (position >= limit || body[position] != '"') {
      return null;
    }
    int end = position + 1;
    while (end < limit
        && end - position <= MAX_NAME_LENGTH
        && body[end] != '"'
        && body[end] != '\\') {
      end++;
    }
    return end < limit && body[end] == '"'
        ? new String(body, position + 1, end - position - 1, StandardCharsets.UTF_8)
        : null;
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

  private static int indexOf(byte[] body, byte[] pattern, int from, int to) {
    outer:
    for (int i = from; i + pattern.length <= to; i++) {
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
