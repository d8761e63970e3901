package lemondock.net.sse;

import java.nio.charset.StandardCharsets;

/**
 * One server-sent event of an event stream (WHATWG HTML, section 9.2).
 *
 * @param id the last event id received on the stream; null if there was none
 * @param type the event type; {@code message} if none was given
 * @param data the data lines, joined by line feeds
 */
public record SseEvent(String id, String type, String data) {
  /** Encodes an event; a null id or type is omitted. */
  public static byte[] encode(String id, String type, String data) {
    StringBuilder text = new StringBuilder(data.length() + 32);
    if (type != null) {
      text.append("event: ").append(type).append('\n');
    }
    if (id != null) {
      text.append("id: ").append(id).append('\n');
    }
    int from = 0;
    for (int to = data.indexOf('\n'); to >= 0; to = data.indexOf('\n', from)) {
      text.append("data: ").append(data, from, to).append('\n');
      from = to + 1;
    }
    text.append("data: ").append(data, from, data.length()).append("\n\n");
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Encodes a comment, which clients ignore; serves to keep an idle stream alive. */
  public static byte[] comment(String text) {
    return (": " + text + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
