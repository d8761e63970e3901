package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;

/** Short HTTP responses. */
final class HttpReplies {
  static final byte[] EMPTY_BODY = new byte[0];

  /** Characters of a text from outside that are quoted. */
  private static final int MAX_QUOTED_CHARS = 80;

  private HttpReplies() {}

  /** Responds with a line of text. */
  static void text(HttpExchange exchange, int status, String line) {
    exchange.respond(
        status,
        Headers.of("content-type", "text/plain; charset=utf-8"),
        (line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Responds with a JSON-RPC error. */
  static void error(HttpExchange exchange, int status, JsonNode id, int code, String message) {
    exchange.respond(
        status,
        Headers.of("content-type", ContentNegotiation.JSON),
        bytes(JsonRpc.error(id, code, message, null)));
  }

  /** A message as it is sent. */
  static byte[] bytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A text that came from outside, bounded for responses and log lines. */
  static String clip(String text) {
    return text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
  }
}
