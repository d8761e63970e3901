package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.clip;
import static lemondock.gateway.mcp.HttpReplies.sendError;
import static lemondock.gateway.mcp.HttpReplies.sendText;

import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/** Handles POST requests: a single message of a client or a batch. Loop thread only. */
final class PostHandler {
  private final McpContext context;
  private final SessionResolver sessionResolver;
  private final SessionInitializer sessionInitializer;
  private final ClientMessageHandler clientMessageHandler;

  PostHandler(
      McpContext context, SessionResolver sessionResolver, SessionInitializer sessionInitializer) {
    this.context = context;
    this.sessionResolver = sessionResolver;
    this.sessionInitializer = sessionInitializer;
    this.clientMessageHandler = new ClientMessageHandler(context.loop());
  }

  /** Responds to a request that {@link RequestPreparer} has prepared. */
  void handle(HttpExchange exchange) {
    Headers headers = exchange.request().headers();
    if (!ContentNegotiation.isJson(headers)) {
      String type = headers.firstValue("content-type").orElse("null");
      sendText(exchange, 415, "expected content-type application/json, found " + clip(type));
      return;
    }
    boolean acceptsJson = ContentNegotiation.accepts(headers, ContentNegotiation.JSON);
    boolean acceptsStream = ContentNegotiation.accepts(headers, ContentNegotiation.EVENT_STREAM);
    if (!acceptsJson && !acceptsStream) {
      sendText(exchange, 406, "expected accept: application/json, text/event-stream");
      return;
    }
    RequestPreparer.Prepared prepared = (RequestPreparer.Prepared) exchange.prepared();
    if (!respondOutsideSession(exchange, prepared.parsed())) {
      sessionResolver
          .resolve(exchange)
          .ifPresent(session -> handleMessages(exchange, session, prepared, acceptsStream));
    }
  }

  /**
   * Responds to a single message that is invalid or is {@code initialize}, neither of which needs a
   * session.
   *
   * @return whether the request was answered
   */
  private boolean respondOutsideSession(HttpExchange exchange, JsonRpc.Parsed parsed) {
    if (parsed.batch()) {
      return false;
    }
    JsonRpcMessage message = parsed.messages().get(0);
    if (message instanceof JsonRpcMessage.Invalid invalid) {
      sendError(exchange, 400, invalid.id(), invalid.code(), invalid.reason());
      return true;
    }
    if (message instanceof JsonRpcMessage.Request request
        && request.method().equals(Mcp.INITIALIZE)) {
      sessionInitializer.initialize(exchange, request);
      return true;
    }
    return false;
  }

  private void handleMessages(
      HttpExchange exchange,
      McpSession session,
      RequestPreparer.Prepared prepared,
      boolean acceptsStream) {
    boolean batch = prepared.parsed().batch();
    if (batch && !session.version().equals(Mcp.BATCH_VERSION)) {
      sendError(
          exchange,
          400,
          NullNode.instance,
          JsonRpc.INVALID_REQUEST,
          "Invalid Request: version " + session.version() + " has no batches");
      return;
    }
    List<JsonRpcMessage.Request> requests = new ArrayList<>();
    List<ObjectNode> readyResponses = new ArrayList<>();
    for (JsonRpcMessage message : prepared.parsed().messages()) {
      if (message instanceof JsonRpcMessage.Request request) {
        requests.add(request);
      } else {
        handleNonRequest(session, message).ifPresent(readyResponses::add);
      }
    }
    if (requests.isEmpty() && readyResponses.isEmpty()) {
      exchange.respond(202, new Headers(), HttpReplies.EMPTY_BODY);
      return;
    }
    PostResponder.ResponseMode mode =
        new PostResponder.ResponseMode(batch, acceptsStream, requests.size());
    PostResponder responder = new PostResponder(context, exchange, session, mode, readyResponses);
    requests.forEach(request -> responder.accept(request, prepared.call(request)));
    responder.flush();
  }

  /** Handles a message other than a request; returns the error response if it is invalid. */
  private Optional<ObjectNode> handleNonRequest(McpSession session, JsonRpcMessage message) {
    if (message instanceof JsonRpcMessage.Notification notification) {
      clientMessageHandler.handleNotification(session, notification);
    } else if (message instanceof JsonRpcMessage.Response response) {
      clientMessageHandler.handleResponse(session, response);
    } else if (message instanceof JsonRpcMessage.Invalid invalid) {
      return Optional.of(JsonRpc.error(invalid.id(), invalid.code(), invalid.reason(), null));
    }
    return Optional.empty();
  }
}
