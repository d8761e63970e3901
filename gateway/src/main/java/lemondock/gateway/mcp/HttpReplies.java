package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;

/** The short answers of the MCP front. */
final class HttpReplies {
  private HttpReplies() {}

  /** Answers with a line of text. */
  static void text(HttpExchange exchange, int status, String what) {
    exchange.respond(
        status,
        Headers.of("content-type", "text/plain; charset=utf-8"),
        (what + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Answers with a JSON-RPC error. */
  static void error(HttpExchange exchange, int status, JsonNode id, int code, String what) {
    exchange.respond(
        status,
        Headers.of("content-type", "application/json"),
        bytes(JsonRpc.error(id, code, what, null)));
  }

  /** A message as it is sent. */
  static byte[] bytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** A text that came from outside, bounded for answers and log lines. */
  static String clip(String text) {
    return text.length() > 80 ? text.substring(0, 80) + "..." : text;
  }
}
