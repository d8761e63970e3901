package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpEvent;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.net.sse.SseEvent;
import lemondock.rpc.JsonRpc;
import lemondock.rpc.JsonRpcMessage;
import lemondock.rpc.Mcp;

/** One {@code tools/call} of a {@link McpClient}, with its call record. Loop thread only. */
public final class McpCall implements ResponseReceiver {
  private static final JsonRpc RPC = new JsonRpc(JsonRpc.Limits.DEFAULT);
  private static final int TOOL_ERROR_CODE = -32000;

  private final McpClient client;
  private final ToolCallRequest request;
  private final int id;
  private final Consumer<McpCall> onEnd;
  private final CallRecord record;
  private HttpCall httpCall;
  private boolean ended;

  McpCall(McpClient client, ToolCallRequest request, int id, Consumer<McpCall> onEnd) {
    this.client = client;
    this.request = request;
    this.id = id;
    this.onEnd = onEnd;
    int promptChars = 0;
    for (JsonNode message : request.messages()) {
      promptChars += message.path("content").asText().length();
    }
    this.record =
        new CallRecord(
            request.mark(),
            client.gateway(),
            request.classId(),
            promptChars,
            request.retry(),
            nowMicros());
  }

  private long nowMicros() {
    return client.loop().now();
  }

  /** What the client has observed of the call so far. */
  public CallRecord record() {
    return record;
  }

  /** The request that the client sent. */
  public ToolCallRequest request() {
    return request;
  }

  void send() {
    httpCall =
        client.post(
            JsonRpc.request(JsonNodeFactory.instance.numberNode(id), Mcp.TOOLS_CALL, params()),
            this);
  }

  private ObjectNode params() {
    ObjectNode params = JsonNodeFactory.instance.objectNode().put("name", request.tool());
    ObjectNode arguments = params.putObject("arguments");
    arguments.set("messages", request.messages());
    arguments.put("max_tokens", request.maxTokens());
    if (request.conversation() != null) {
      arguments.put("conversation", request.conversation());
    }
    ArrayNode tools = arguments.putArray("tools");
    for (String tool : request.tools()) {
      tools.addObject().put("name", tool).putObject("inputSchema").put("type", "object");
    }
    ObjectNode meta = params.putObject("_meta").put("progressToken", id);
    if (request.retry()) {
      meta.put("lemondock/retry", true);
    }
    if (request.idempotencyKey() != null) {
      meta.put("lemondock/key", request.idempotencyKey());
    }
    if (request.tenant() != null) {
      meta.put("lemondock/tenant", request.tenant());
    }
    return params;
  }

  /** Abandons the call: sends a cancellation and closes the connection. No-op once it has ended. */
  public void cancel() {
    if (record.answeredAtMicros != 0 || record.connectionLostAtMicros != 0) {
      return;
    }
    record.cancelledAtMicros = nowMicros();
    ObjectNode params =
        JsonNodeFactory.instance.objectNode().put("requestId", id).put("reason", "gave up");
    client.post(JsonRpc.notification(Mcp.CANCELLED, params), new IgnoringReceiver());
    httpCall.cancel();
  }

  @Override
  public void onHead(HttpEvent.ResponseHead head) {
    if (head.status() == 404) {
      record.notAccepted = true;
      client.forgetSession();
    } else if (head.status() == 503) {
      record.notAccepted = true; // the gateway is at its capacity limit
    } else if (head.status() != 200) {
      record.protocolViolations.add("unexpected HTTP status " + head.status());
    }
  }

  @Override
  public void onBody(byte[] bytes) {
    if (!record.notAccepted) {
      onMessage(bytes);
    }
  }

  @Override
  public void onEvent(Object mapped) {
    SseEvent event = (SseEvent) mapped;
    if (!event.data().isEmpty()) {
      onMessage(event.data().getBytes(StandardCharsets.UTF_8));
    }
  }

  private void onMessage(byte[] json) {
    JsonRpcMessage message = RPC.parse(json).messages().get(0);
    if (record.answeredAtMicros != 0) {
      record.messagesAfterAnswer++;
    } else if (message instanceof JsonRpcMessage.Notification notification) {
      if (notification.method().equals(Mcp.PROGRESS)) {
        onProgress(notification.params());
      }
    } else if (message instanceof JsonRpcMessage.Request toolCall
        && toolCall.method().equals(Mcp.TOOLS_CALL)) {
      onToolCall(toolCall);
    } else if (message instanceof JsonRpcMessage.Response response
        && response.id().asInt(-1) == id) {
      onResponse(response);
    } else {
      record.protocolViolations.add(
          "unexpected message " + new String(json, StandardCharsets.UTF_8));
    }
  }

  private void onFirstMessage() {
    if (record.firstMessageAtMicros == 0) {
      record.firstMessageAtMicros = nowMicros();
    }
  }

  private void onProgress(JsonNode params) {
    onFirstMessage();
    int tokens = params.path("progress").asInt();
    if (tokens <= record.tokens) {
      record.protocolViolations.add("progress went from " + record.tokens + " to " + tokens);
    }
    record.tokens = tokens;
    record.streamed.append(params.path("message").asText());
  }

  private void onToolCall(JsonRpcMessage.Request toolCall) {
    onFirstMessage();
    String name = toolCall.params().path("name").asText();
    record.toolCalls.add(name + toolCall.params().path("arguments"));
    if (request.toolBehaviour() != ToolBehaviour.SILENT) {
      ObjectNode answer = toolAnswer(toolCall, name);
      client.loop().schedule(request.toolDelayMicros(), () -> sendToolAnswer(answer));
    }
  }

  private ObjectNode toolAnswer(JsonRpcMessage.Request toolCall, String name) {
    if (request.toolBehaviour() == ToolBehaviour.ERROR) {
      return JsonRpc.error(toolCall.id(), TOOL_ERROR_CODE, "the tool failed", null);
    }
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.putArray("content").addObject().put("type", "text").put("text", "did-" + name);
    return JsonRpc.result(toolCall.id(), result);
  }

  private void sendToolAnswer(ObjectNode answer) {
    client.post(answer, new IgnoringReceiver());
    if (request.toolBehaviour() == ToolBehaviour.TWICE) {
      client.post(answer, new IgnoringReceiver());
    }
  }

  private void onResponse(JsonRpcMessage.Response response) {
    record.responses++;
    record.answeredAtMicros = nowMicros();
    if (response.error() == null) {
      record.finalText = response.result().path("content").path(0).path("text").asText();
      return;
    }
    record.errorCode = response.error().path("code").asInt();
    JsonNode data = response.error().path("data");
    record.retryable = data.path("retryable").asBoolean(false);
    record.earlierAttemptOutcome = data.path("became").asText(null);
    record.retryAfterMs = data.path("retryAfterMs").asLong(0);
  }

  @Override
  public void onComplete() {
    end();
  }

  @Override
  public void onFailure(RequestFailure failure, String reason) {
    if (record.answeredAtMicros == 0) {
      record.connectionLostAtMicros = nowMicros();
      record.notAccepted |=
          failure == RequestFailure.NOT_SENT || failure == RequestFailure.LOCAL_LIMIT_REACHED;
    }
    client.forgetSession();
    end();
  }

  private void end() {
    if (record.answeredAtMicros == 0 && record.connectionLostAtMicros == 0) {
      record.connectionLostAtMicros = nowMicros(); // the stream ended without a response
    }
    if (!ended) {
      ended = true;
      onEnd.accept(this);
    }
  }
}
