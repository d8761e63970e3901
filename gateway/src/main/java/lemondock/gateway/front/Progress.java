package lemondock.gateway.front;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import lemondock.net.OutBuffer;
import lemondock.rpc.Mcp;

/**
 * The notification that carries a piece of an answer: all that is the same for each piece of one
 * answer is made once.
 */
final class Progress {
  private static final byte[] MIDDLE = ",\"message\":\"".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] TAIL = "\"}}".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] HEX = "0123456789ABCDEF".getBytes(StandardCharsets.US_ASCII);

  /** The letter behind the backslash for characters that have a short form. */
  private static final byte[] SHORT = new byte[128];

  private final byte[] head;

  static {
    SHORT['"'] = '"';
    SHORT['\\'] = '\\';
    SHORT['\b'] = 'b';
    SHORT['\f'] = 'f';
    SHORT['\n'] = 'n';
    SHORT['\r'] = 'r';
    SHORT['\t'] = 't';
  }

  /** For answers to the call that gave that token. */
  Progress(JsonNode token) {
    head =
        ("{\"jsonrpc\":\"2.0\",\"method\":\""
                + Mcp.PROGRESS
                + "\",\"params\":{\"progressToken\":"
                + token
                + ",\"progress\":")
            .getBytes(StandardCharsets.UTF_8);
  }

  /** Adds the message of one piece; no line end is in it. */
  void write(int tokens, CharSequence piece, OutBuffer out) {
    out.add(head).addDecimal(tokens).add(MIDDLE);
    for (int at = 0; at < piece.length(); ) {
      char c = piece.charAt(at);
      if (c >= SHORT.length || c >= ' ' && SHORT[c] == 0) {
        at = out.addCharacterAt(piece, at);
        continue;
      }
      out.add('\\');
      if (SHORT[c] != 0) {
        out.add(SHORT[c]);
      } else {
        out.add('u').add('0').add('0').add(HEX[c >> 4]).add(HEX[c & 0xf]);
      }
      at++;
    }
    out.add(TAIL);
  }
}
