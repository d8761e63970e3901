package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import lemondock.net.OutBuffer;
import lemondock.rpc.Mcp;

/**
 * Writes the notifications that carry the pieces of one answer. The part that is the same for every
 * piece is built once. Immutable, so any thread may use it.
 */
final class ProgressNotification {
  private static final byte[] MESSAGE_FIELD = ",\"message\":\"".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] SUFFIX = "\"}}".getBytes(StandardCharsets.US_ASCII);
  private static final byte[] HEX = "0123456789ABCDEF".getBytes(StandardCharsets.US_ASCII);

  /** The letter after the backslash for characters with a short escape; 0 for the others. */
  private static final byte[] SHORT_ESCAPES = new byte[128];

  private final byte[] prefix;

  static {
    SHORT_ESCAPES['"'] = '"';
    SHORT_ESCAPES['\\'] = '\\';
    SHORT_ESCAPES['\b'] = 'b';
    SHORT_ESCAPES['\f'] = 'f';
    SHORT_ESCAPES['\n'] = 'n';
    SHORT_ESCAPES['\r'] = 'r';
    SHORT_ESCAPES['\t'] = 't';
  }

  /** Creates the writer for the call with that progress token. */
  ProgressNotification(JsonNode token) {
    prefix =
        ("{\"jsonrpc\":\"2.0\",\"method\":\""
                + Mcp.PROGRESS
                + "\",\"params\":{\"progressToken\":"
                + token
                + ",\"progress\":")
            .getBytes(StandardCharsets.UTF_8);
  }

  /**
   * Appends the notification of one piece, as JSON without line breaks.
   *
   * @param tokens number of tokens of the answer so far, including this piece
   */
  void write(int tokens, CharSequence piece, OutBuffer out) {
    out.add(prefix).addDecimal(tokens).add(MESSAGE_FIELD);
    for (int index = 0; index < piece.length(); ) {
      char character = piece.charAt(index);
      if (character >= SHORT_ESCAPES.length || character >= ' ' && SHORT_ESCAPES[character] == 0) {
        index = out.addCharacterAt(piece, index);
        continue;
      }
      out.add('\\');
      if (SHORT_ESCAPES[character] != 0) {
        out.add(SHORT_ESCAPES[character]);
      } else {
        out.add('u').add('0').add('0').add(HEX[character >> 4]).add(HEX[character & 0xf]);
      }
      index++;
    }
    out.add(SUFFIX);
  }
}
