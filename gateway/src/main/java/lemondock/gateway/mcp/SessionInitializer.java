package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.sendError;
import static lemondock.gateway.mcp.HttpReplies.toBytes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.OptionalLong;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/** Handles {@code initialize} requests, which open sessions. Loop thread only. */
final class SessionInitializer {
  private final McpContext context;
  private final SessionTable sessions;
  private final String serverVersion;

  SessionInitializer(McpContext context, SessionTable sessions, String serverVersion) {
    this.context = context;
    this.sessions = sessions;
    this.serverVersion = serverVersion;
  }

  /** Opens a session and responds with its id, or with the reason why none is opened. */
  void initialize(HttpExchange exchange, JsonRpcMessage.Request request) {
    JsonNode requestedVersion =
        request.params() == null ? null : request.params().get("protocolVersion");
    if (requestedVersion == null || !requestedVersion.isTextual()) {
      sendError(
          exchange,
          400,
          request.id(),
          JsonRpc.INVALID_PARAMS,
          "/protocolVersion: expected a text, found " + requestedVersion);
      return;
    }
    if (context.isStopping().getAsBoolean()) {
      sendError(exchange, 503, request.id(), Mcp.STOPPING, "the gateway is stopping");
      return;
    }
    OptionalLong retryAfterMicros = context.preparer().newSessionRetryAfterMicros();
    if (retryAfterMicros.isPresent()) {
      rejectForOverload(exchange, request.id(), retryAfterMicros.getAsLong());
      return;
    }
    if (sessions.isFull()) {
      int maxSessions = context.settings().front().maxSessions();
      sendError(
          exchange,
          503,
          request.id(),
          Mcp.LIMIT,
          "no more than " + maxSessions + " sessions at once");
      return;
    }
    respond(exchange, request.id(), sessions.open(Mcp.negotiate(requestedVersion.textValue())));
  }

  private static void rejectForOverload(HttpExchange exchange, JsonNode id, long retryAfterMicros) {
    ObjectNode data = JsonNodeFactory.instance.objectNode().put("retryable", true);
    long retryAfterSeconds = RequestPreparer.toRetryAfterSeconds(retryAfterMicros);
    exchange.respond(
        503,
        Headers.of(
            "content-type",
            ContentNegotiation.JSON,
            "retry-after",
            Long.toString(retryAfterSeconds)),
        toBytes(JsonRpc.error(id, Mcp.LIMIT, "the gateway is at its limit", data)));
  }

  private void respond(HttpExchange exchange, JsonNode id, McpSession session) {
    ObjectNode result =
        JsonNodeFactory.instance.objectNode().put("protocolVersion", session.version());
    result.putObject("capabilities").putObject("tools").put("listChanged", false);
    result.putObject("serverInfo").put("name", "lemondock").put("version", serverVersion);
    exchange.respond(
        200,
        Headers.of("content-type", ContentNegotiation.JSON, Mcp.SESSION_HEADER, session.id()),
        toBytes(JsonRpc.result(id, result)));
  }
}
