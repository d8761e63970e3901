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
  static final int FAR = 600;

  private static final int LONGEST = 128;
  private static final byte[] CALL =
      ('"' + Mcp.TOOLS_CALL + '"').getBytes(StandardCharsets.US_ASCII);
  private static final byte[] NAME = "\"name\"".getBytes(StandardCharsets.US_ASCII);

  private ToolNameScanner() {}

  /** The tool that a single {@code tools/call} names; null if it does not begin like one. */
  static String tool(byte[] body) {
    int far = Math.min(FAR, body.length);
    if (far == 0 || body[0] != '{' || find(body, CALL, 0, far) < 0) {
      return null;
    }
    int at = find(body, NAME, 0, far);
    if (at < 0) {
      return null;
    }
    at = skip(body, at + NAME.length, far);
    if (at >= far || body[at] != ':') {
      return null;
    }
    at = skip(body, at + 1, far);
    if (at >= far || body[at] != '"') {
      return null;
    }
    int end = at + 1;
    while (end < far && end - at <= LONGEST && body[end] != '"' && body[end] != '\\') {
      end++;
    }
    return end < far && body[end] == '"'
        ? new String(body, at + 1, end - at - 1, StandardCharsets.UTF_8)
        : null;
  }

  private static int skip(byte[] body, int from, int far) {
    int at = from;
    while (at < far
        && (body[at] == ' ' || body[at] == '\n' || body[at] == '\r' || body[at] == '\t')) {
      at++;
    }
    return at;
  }

  private static int find(byte[] in, byte[] what, int from, int to) {
    outer:
    for (int i = from; i + what.length <= to; i++) {
      for (int j = 0; j < what.length; j++) {
        if (in[i + j] != what[j]) {
          continue outer;
        }
      }
      return i;
    }
    return -1;
  }
}
