package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.sse.SseEvent;

/** Encodes the bodies and stream events of an engine's responses. */
final class EngineMessages {
  static final byte[] STREAM_END = event("[DONE]");

  /** Why an answer ended; {@code NONE} until its last chunk. */
  enum FinishReason {
    NONE("null"),
    STOP("\"stop\""),
    LENGTH("\"length\""),
    TOOL_CALLS("\"tool_calls\"");

    private final String json;

    FinishReason(String json) {
      this.json = json;
    }
  }

  private EngineMessages() {}

  static byte[] bytes(JsonNode node) {
    return node.toString().getBytes(StandardCharsets.UTF_8);
  }

  static byte[] event(String data) {
    return SseEvent.encode(null, null, data);
  }

  static void respondWithError(HttpExchange exchange, int status, String code, String message) {
    ObjectNode body = JsonNodeFactory.instance.objectNode();
    body.putObject("error").put("message", message).put("type", "standin").put("code", code);
    exchange.respond(status, Headers.of("content-type", "application/json"), bytes(body));
  }

  /** Encodes the response to a prefill, which tells where a writer can fetch the state. */
  static byte[] prefillResponse(
      EngineRequest request, int cachedTokens, String engine, InetSocketAddress address) {
    ObjectNode response =
        JsonNodeFactory.instance
            .objectNode()
            .put("id", "chatcmpl-" + request.id())
            .put("object", "chat.completion")
            .put("model", request.body().path("model").asText());
    response
        .putArray("choices")
        .addObject()
        .put("index", 0)
        .put("finish_reason", "length")
        .putObject("message")
        .put("role", "assistant")
        .put("content", "");
    putUsage(response, request, 1, cachedTokens);
    response
        .putObject("kv_transfer_params")
        .put("do_remote_prefill", true)
        .put("do_remote_decode", false)
        .put("remote_engine_id", engine)
        .put("remote_request_id", request.id())
        .put("remote_host", address.getHostString())
        .put("remote_port", address.getPort());
    return bytes(response);
  }

  private static void putUsage(
      ObjectNode response, EngineRequest request, int completionTokens, int cachedTokens) {
    int promptTokens = request.promptTokens();
    ObjectNode usage =
        response
            .putObject("usage")
            .put("prompt_tokens", promptTokens)
            .put("completion_tokens", completionTokens)
            .put("total_tokens", promptTokens + completionTokens);
    usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
  }

  /** Encodes one chunk of an answer; {@code delta} is JSON text. */
  static byte[] chunk(
      EngineRequest request, String delta, FinishReason finishReason, int completionTokens) {
    return event(
        "{\"id\":\"chatcmpl-"
            + request.id()
            + "\",\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":"
            + delta
            + ",\"finish_reason\":"
            + finishReason.json
            + "}],\"usage\":{\"prompt_tokens\":"
            + request.promptTokens()
            + ",\"completion_tokens\":"
            + completionTokens
            + "}}");
  }

  /** Encodes the usage, which is the stream's last event before {@link #STREAM_END}. */
  static byte[] usageChunk(EngineRequest request, int completionTokens, int cachedTokens) {
    ObjectNode chunk =
        JsonNodeFactory.instance
            .objectNode()
            .put("id", "chatcmpl-" + request.id())
            .put("object", "chat.completion.chunk");
    chunk.putArray("choices");
    putUsage(chunk, request, completionTokens, cachedTokens);
    return event(chunk.toString());
  }

  static String roleDelta() {
    return "{\"role\":\"assistant\",\"content\":\"\"}";
  }

  static String contentDelta(String text) {
    return "{\"content\":" + quoteJson(text) + "}";
  }

  /** Encodes the first delta of a tool call; {@code arguments} is the start of its arguments. */
  static String toolCallDelta(int index, AnswerScript.ToolCall call, String arguments) {
    return "{\"tool_calls\":[{\"index\":"
        + index
        + ",\"id\":\""
        + call.id()
        + "\",\"type\":\"function\","
        + "\"function\":{\"name\":\""
        + call.name()
        + "\",\"arguments\":"
        + quoteJson(arguments)
        + "}}]}";
  }

  /** Encodes a delta that continues the arguments of a tool call. */
  static String argumentsDelta(int index, String arguments) {
    return "{\"tool_calls\":[{\"index\":"
        + index
        + ",\"function\":{\"arguments\":"
        + quoteJson(arguments)
        + "}}]}";
  }

  private static String quoteJson(String text) {
    return JsonNodeFactory.instance.textNode(text).toString();
  }
}
