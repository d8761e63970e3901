package lemondock.net.sse;

import java.nio.charset.StandardCharsets;

/**
 * One event of an event stream (WHATWG HTML, server-sent events).
 *
 * @param id the last event id in force, null if none was given
 * @param type {@code message} unless named
 * @param data the data lines, joined by line feeds
 */
public record SseEvent(String id, String type, String data) {
  /** The bytes of an event on the stream; a null id or type is left out. */
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

  /** A comment, which readers drop; keeps a quiet stream alive. */
  public static byte[] comment(String text) {
    return (": " + text + "\n\n").getBytes(StandardCharsets.UTF_8);
  }
}
