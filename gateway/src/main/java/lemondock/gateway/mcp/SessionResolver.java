package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;
import static lemondock.gateway.mcp.HttpReplies.sendError;

import com.fasterxml.jackson.databind.node.NullNode;
import java.util.Optional;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.Mcp;

/** Finds the session that a request names in its header fields. Loop thread only. */
final class SessionResolver {
  private final SessionTable sessions;

  SessionResolver(SessionTable sessions) {
    this.sessions = sessions;
  }

  /** Returns the session of a request; if empty, the request has been answered with an error. */
  Optional<McpSession> resolve(HttpExchange exchange) {
    Headers headers = exchange.request().headers();
    Optional<String> unsupportedVersion =
        headers
            .firstValue(Mcp.VERSION_HEADER)
            .filter(protocolVersion -> !Mcp.VERSIONS.contains(protocolVersion));
    if (unsupportedVersion.isPresent()) {
      respondWithError(
          exchange,
          400,
          "Bad Request: unsupported protocol version "
              + clip(unsupportedVersion.get())
              + ", expected one of "
              + Mcp.VERSIONS);
      return Optional.empty();
    }
    Optional<String> id = headers.firstValue(Mcp.SESSION_HEADER);
    if (id.isEmpty()) {
      respondWithError(exchange, 400, "Bad Request: expected header " + Mcp.SESSION_HEADER);
      return Optional.empty();
    }
    Optional<McpSession> session = sessions.findAndMarkUsed(id.get());
    if (session.isEmpty()) {
      respondWithError(exchange, 404, "Session not found");
    }
    return session;
  }

  private static void respondWithError(HttpExchange exchange, int status, String message) {
    sendError(exchange, status, NullNode.instance, JsonRpc.INVALID_REQUEST, message);
  }
}
