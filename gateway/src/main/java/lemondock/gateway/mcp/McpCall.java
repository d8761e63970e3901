package lemondock.gateway.mcp;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import lemondock.gateway.answer.AnswerOutcome;
import lemondock.gateway.answer.ToolCall;
import lemondock.gateway.core.CallSink;
import lemondock.gateway.core.ClientCall;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.Mcp;

/**
 * One {@code tools/call} of a client. Turns the events of the call into protocol messages. Loop
 * thread only, except for the methods that {@link CallSink} lets I/O threads call.
 */
final class McpCall implements CallSink {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MICROS_PER_MILLI = 1_000;

  private final McpSession session;
  private final JsonNode id;
  private final Reply reply;
  private final Options options;

  /** Null if the client asked for no progress notifications; read for each piece of the answer. */
  private final ProgressNotification progress;

  /** Ids under which tool calls were relayed to the client, by the engine's tool call ids. */
  private final Map<String, String> relayIdsByToolCallId = new HashMap<>();

  /** Set once, before the first piece of the answer. */
  private ClientCall call;

  /** Receives the messages of a call for the client. */
  interface Reply {
    /** Sends a message other than a response; dropped if the client accepts responses only. */
    void sendMessage(String json);

    /**
     * Sends a piece of the answer; dropped if the client accepts responses only. The caller holds
     * the output lock.
     */
    void sendProgress(ProgressNotification progress, int tokens, CharSequence piece);

    /** Sends the response to the call. */
    void sendResponse(McpCall call, ObjectNode response);

    /** Reports that the client has cancelled the call, which then gets no result. */
    void callCancelled(McpCall call);

    /** Returns the I/O shard of the client's connection. */
    int clientShard();

    /** See {@link CallSink#outputLock}. Any thread. */
    Object outputLock();

    /** See {@link CallSink#acceptsDirectOutput}. The caller holds the output lock. */
    boolean acceptsDirectOutput();
  }

  /**
   * Options of a call, from the client and from the settings.
   *
   * @param progressToken token of the progress notifications; none are sent without one
   * @param idempotent whether the client may retry the call after any failure
   * @param conversation the client's name for the conversation
   */
  record Options(
      Optional<JsonNode> progressToken, boolean idempotent, Optional<String> conversation) {}

  McpCall(McpSession session, JsonNode id, Options options, Reply reply) {
    this.session = session;
    this.id = id;
    this.options = options;
    this.reply = reply;
    this.progress = options.progressToken().map(ProgressNotification::new).orElse(null);
  }

  JsonNode id() {
    return id;
  }

  /** Returns the id as JSON text, so that 1 and "1" differ. */
  String key() {
    return id.toString();
  }

  ClientCall call() {
    return call;
  }

  /** Reports the client's cancellation; {@link ClientCall#cancel} must be called first. */
  void reportCancelled() {
    reply.callCancelled(this);
  }

  @Override
  public void accepted(ClientCall accepted) {
    call = accepted;
  }

  @Override
  public void deliver(CharSequence piece, int tokens) {
    if (progress != null) {
      reply.sendProgress(progress, tokens, piece);
    }
  }

  @Override
  public int clientShard() {
    return reply.clientShard();
  }

  @Override
  public Object outputLock() {
    return reply.outputLock();
  }

  @Override
  public boolean acceptsDirectOutput() {
    return reply.acceptsDirectOutput();
  }

  @Override
  public void relay(ToolCall toolCall) {
    String relayId =
        session.addRelayedToolCall(new McpSession.RelayedToolCall(call, toolCall.id()));
    relayIdsByToolCallId.put(toolCall.id(), relayId);
    ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", toolCall.name());
    params.set("arguments", parseArguments(toolCall.arguments()));
    params.putObject("_meta").set("lemondock/call", id);
    reply.sendMessage(
        JsonRpc.request(JsonNodeFactory.instance.textNode(relayId), Mcp.TOOLS_CALL, params)
            .toString());
  }

  /** Parses arguments; the client gets those that are not a JSON object as text. */
  private static JsonNode parseArguments(String text) {
    if (text.isBlank()) {
      return JsonNodeFactory.instance.objectNode();
    }
    try {
      JsonNode parsed = MAPPER.readTree(text);
      if (parsed != null && parsed.isObject()) {
        return parsed;
      }
    } catch (JsonProcessingException e) {
      // a model may generate invalid JSON: passed on as text below
    }
    return JsonNodeFactory.instance.objectNode().put("text", text);
  }

  @Override
  public void withdraw(ToolCall toolCall, String reason) {
    String relayId = relayIdsByToolCallId.get(toolCall.id());
    session.removeRelayedToolCall(relayId);
    reply.sendMessage(
        JsonRpc.notification(
                Mcp.CANCELLED,
                JsonNodeFactory.instance
                    .objectNode()
                    .put("requestId", relayId)
                    .put("reason", reason))
            .toString());
  }

  @Override
  public void ended(AnswerOutcome outcome) {
    reply.sendResponse(this, toResponse(outcome));
  }

  private ObjectNode toResponse(AnswerOutcome outcome) {
    return switch (outcome.kind()) {
      case SERVED -> JsonRpc.result(id, toResult(outcome));
      case REJECTED -> toError(Mcp.REJECTED, outcome, true);
      default -> toError(Mcp.FAILED, outcome, options.idempotent());
    };
  }

  private ObjectNode toError(int code, AnswerOutcome outcome, boolean retryable) {
    return JsonRpc.error(id, code, outcome.message(), errorData(outcome, retryable));
  }

  private ObjectNode toResult(AnswerOutcome outcome) {
    AnswerOutcome.Totals totals = outcome.totals();
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.putArray("content").addObject().put("type", "text").put("text", totals.text());
    ObjectNode structured = result.putObject("structuredContent");
    structured
        .put("text", totals.text())
        .put("tokens", totals.tokens())
        .put("turns", totals.turns() + 1)
        .put("toolCalls", totals.toolCalls())
        .put("finishReason", outcome.finishReason());
    options.conversation().ifPresent(name -> structured.put("conversation", name));
    return result.put("isError", false);
  }

  private static ObjectNode errorData(AnswerOutcome outcome, boolean retryable) {
    ObjectNode data =
        JsonNodeFactory.instance
            .objectNode()
            .put("retryable", retryable)
            .put("tokens", outcome.totals().tokens());
    if (retryable && outcome.retryAfterMicros() > 0) {
      data.put("retryAfterMs", outcome.retryAfterMicros() / MICROS_PER_MILLI);
    }
    return data;
  }
}
