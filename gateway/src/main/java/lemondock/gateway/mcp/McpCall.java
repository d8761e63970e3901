package lemondock.gateway.mcp;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import lemondock.gateway.answer.Answer;
import lemondock.gateway.answer.ToolCall;
import lemondock.gateway.core.CallSink;
import lemondock.gateway.core.ClientCall;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.Mcp;

/** One {@code tools/call} of a client: turns what becomes of it into messages of the protocol. */
final class McpCall implements CallSink {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MICROS = 1_000;

  private final McpSession session;
  private final JsonNode id;
  private final Reply reply;
  private final boolean idempotent;
  private final ProgressNotification progress;
  private final String conversation;
  private final Map<String, String> relayIds = new HashMap<>();
  private ClientCall call;

  /** Where a call's messages go. */
  interface Reply {
    /** Sends a message that is no response; dropped where the client takes responses only. */
    void message(String json);

    /** Sends a piece of the answer, like {@link #message}. */
    void progress(ProgressNotification progress, int tokens, CharSequence piece);

    /** Sends the response to the call. */
    void response(McpCall call, ObjectNode response);

    /** The call was cancelled by the client and gets no response. */
    void cancelled(McpCall call);

    /** The shard of the connection they go over. */
    int shard();

    /** See {@link CallSink#outputLock}. */
    Object lock();

    /** See {@link CallSink#acceptsDirectOutput}. */
    boolean flows();
  }

  McpCall(
      McpSession session,
      JsonNode id,
      JsonNode progressToken,
      boolean idempotent,
      String conversation,
      Reply reply) {
    this.session = session;
    this.id = id;
    this.reply = reply;
    this.idempotent = idempotent;
    this.conversation = conversation;
    this.progress = progressToken == null ? null : new ProgressNotification(progressToken);
  }

  JsonNode id() {
    return id;
  }

  String key() {
    return id.toString();
  }

  ClientCall call() {
    return call;
  }

  /** The client cancelled it; {@link ClientCall#cancel} was called. */
  void cancelled() {
    reply.cancelled(this);
  }

  @Override
  public void accepted(ClientCall accepted) {
    call = accepted;
  }

  @Override
  public void deliver(CharSequence piece, int tokens) {
    if (progress != null) {
      reply.progress(progress, tokens, piece);
    }
  }

  @Override
  public int clientShard() {
    return reply.shard();
  }

  @Override
  public Object outputLock() {
    return reply.lock();
  }

  @Override
  public boolean acceptsDirectOutput() {
    return reply.flows();
  }

  @Override
  public void relay(ToolCall tool) {
    String relayId = "relay-" + session.nextRelayNumber++;
    relayIds.put(tool.id(), relayId);
    session.relayedToolCalls.put(relayId, new McpSession.RelayedToolCall(call, tool.id()));
    ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", tool.name());
    params.set("arguments", arguments(tool.arguments()));
    params.putObject("_meta").set("lemondock/call", id);
    reply.message(
        JsonRpc.request(JsonNodeFactory.instance.textNode(relayId), Mcp.TOOLS_CALL, params)
            .toString());
  }

  /** What a model calls arguments need not be JSON; then the client gets the text as it is. */
  private static JsonNode arguments(String text) {
    try {
      JsonNode parsed = text.isBlank() ? null : MAPPER.readTree(text);
      if (parsed != null && parsed.isObject()) {
        return parsed;
      }
    } catch (JsonProcessingException e) {
      // handed on below
    }
    ObjectNode arguments = JsonNodeFactory.instance.objectNode();
    return text.isBlank() ? arguments : arguments.put("text", text);
  }

  @Override
  public void withdraw(ToolCall tool, String why) {
    String relayId = relayIds.get(tool.id());
    session.relayedToolCalls.remove(relayId);
    reply.message(
        JsonRpc.notification(
                Mcp.CANCELLED,
                JsonNodeFactory.instance.objectNode().put("requestId", relayId).put("reason", why))
            .toString());
  }

  @Override
  public void ended(Answer.Outcome outcome) {
    reply.response(
        this,
        switch (outcome.kind()) {
          case SERVED -> JsonRpc.result(id, result(outcome));
          case REJECTED -> JsonRpc.error(id, Mcp.REJECTED, outcome.message(), data(outcome, true));
          default -> JsonRpc.error(id, Mcp.FAILED, outcome.message(), data(outcome, idempotent));
        });
  }

  private ObjectNode result(Answer.Outcome outcome) {
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.putArray("content").addObject().put("type", "text").put("text", outcome.text());
    ObjectNode structured = result.putObject("structuredContent");
    structured
        .put("text", outcome.text())
        .put("tokens", outcome.tokens())
        .put("turns", outcome.turns() + 1)
        .put("toolCalls", outcome.toolCalls())
        .put("finishReason", outcome.finishReason());
    if (conversation != null) {
      structured.put("conversation", conversation);
    }
    return result.put("isError", false);
  }

  private static ObjectNode data(Answer.Outcome outcome, boolean retryable) {
    ObjectNode data =
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", retryable)
            .put("tokens", outcome.tokens());
    if (retryable && outcome.retryAfterMicros() > 0) {
      data.put("retryAfterMs", outcome.retryAfterMicros() / MICROS);
    }
    return data;
  }
}
