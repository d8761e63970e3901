package lemondock.gateway.mcp;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;

/** Sends short HTTP responses. */
final class HttpReplies {
  static final byte[] EMPTY_BODY = new byte[0];

  /** Maximum number of characters quoted from external text. */
  private static final int MAX_QUOTED_CHARS = 80;

  private HttpReplies() {}

  /** Responds with one line of plain text. */
  static void sendText(HttpExchange exchange, int status, String line) {
    exchange.respond(
        status,
        Headers.of("content-type", "text/plain; charset=utf-8"),
        (line + "\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Responds with a JSON-RPC error. */
  static void sendError(HttpExchange exchange, int status, JsonNode id, int code, String message) {
    exchange.respond(
        status,
        Headers.of("content-type", ContentNegotiation.JSON),
        toBytes(JsonRpc.error(id, code, message, null)));
  }

  /** Encodes a message for sending. */
  static byte[] toBytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  /** Truncates external text for use in responses and log lines. */
  static String clip(String text) {
    return text.length() > MAX_QUOTED_CHARS ? text.substring(0, MAX_QUOTED_CHARS) + "..." : text;
  }
}
