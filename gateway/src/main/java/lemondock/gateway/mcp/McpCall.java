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
 * One {@code tools/call} of a client: turns what becomes of it into messages of the protocol. Loop
 * thread only, but for what {@link CallSink} calls from I/O threads.
 */
final class McpCall implements CallSink {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MICROS_PER_MILLI = 1_000;

  private final McpSession session;
  private final JsonNode id;
  private final Reply reply;
  private final Options options;

  /** Null if the client wants no notifications; read for each piece of the answer. */
  private final ProgressNotification progress;

  /** The ids under which tool calls were sent to the client, by the engine's ids. */
  private final Map<String, String> relayIds = new HashMap<>();

  /** Set once, before anything of the answer. */
  private ClientCall call;

  /** Where a call's messages go. */
  interface Reply {
    /** Sends a message that is no response; dropped where the client takes responses only. */
    void sendMessage(String json);

    /** Sends a piece of the answer; dropped like {@link #sendMessage}. Under the output lock. */
    void sendProgress(ProgressNotification progress, int tokens, CharSequence piece);

    /** Sends the response to the call. */
    void sendResponse(McpCall call, ObjectNode response);

    /** The call was cancelled by the client and gets no response. */
    void callCancelled(McpCall call);

    /** The I/O shard of the client's connection. */
    int clientShard();

    /** See {@link CallSink#outputLock}; any thread. */
    Object outputLock();

    /** See {@link CallSink#acceptsDirectOutput}; under the output lock. */
    boolean acceptsDirectOutput();
  }

  /**
   * What the client and the settings say of a call.
   *
   * @param progressToken marks the notifications of progress; without one there are none
   * @param idempotent whether the client may repeat the call after any failure
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

  /** The JSON text of the id, which tells 1 from "1". */
  String key() {
    return id.toString();
  }

  ClientCall call() {
    return call;
  }

  /** The client has cancelled it, after {@link ClientCall#cancel} was called. */
  void cancelled() {
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
    relayIds.put(toolCall.id(), relayId);
    ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", toolCall.name());
    params.set("arguments", arguments(toolCall.arguments()));
    params.putObject("_meta").set("lemondock/call", id);
    reply.sendMessage(
        JsonRpc.request(JsonNodeFactory.instance.textNode(relayId), Mcp.TOOLS_CALL, params)
            .toString());
  }

  /** The arguments as JSON; what is no JSON object is given to the client as text. */
  private static JsonNode arguments(String text) {
    if (text.isBlank()) {
      return JsonNodeFactory.instance.objectNode();
    }
    try {
      JsonNode parsed = MAPPER.readTree(text);
      if (parsed != null && parsed.isObject()) {
        return parsed;
      }
    } catch (JsonProcessingException e) {
      // a model may write anything: given as text below
    }
    return JsonNodeFactory.instance.objectNode().put("text", text);
  }

  @Override
  public void withdraw(ToolCall toolCall, String reason) {
    String relayId = relayIds.get(toolCall.id());
    session.takeRelayedToolCall(relayId);
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
    reply.sendResponse(this, response(outcome));
  }

  private ObjectNode response(AnswerOutcome outcome) {
    return switch (outcome.kind()) {
      case SERVED -> JsonRpc.result(id, result(outcome));
      case REJECTED -> error(Mcp.REJECTED, outcome, true);
      default -> error(Mcp.FAILED, outcome, options.idempotent());
    };
  }

  private ObjectNode error(int code, AnswerOutcome outcome, boolean retryable) {
    return JsonRpc.error(id, code, outcome.message(), data(outcome, retryable));
  }

  private ObjectNode result(AnswerOutcome outcome) {
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

  private static ObjectNode data(AnswerOutcome outcome, boolean retryable) {
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
