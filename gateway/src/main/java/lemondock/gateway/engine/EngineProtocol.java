package lemondock.gateway.engine;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lemondock.policy.AttemptOutcome;

/**
 * The engines' side as bytes: the OpenAI-compatible chat completions API, as vLLM serves it with
 * its prefill and decode disaggregated. A read is a completion of one token that asks for a remote
 * decode; what it returns as {@code kv_transfer_params} goes into the write. No I/O.
 */
public final class EngineProtocol {
  /** Where completions are asked for. */
  public static final String COMPLETIONS_PATH = "/v1/chat/completions";

  /** Where a request, and what is kept for it, is let go (the published call of SGLang). */
  public static final String ABORT_PATH = "/abort_request";

  /** The error code of a writer that found no state to fetch. */
  public static final String STATE_MISSING = "kv_state_missing";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAX_ERROR_CHARS = 200;

  private EngineProtocol() {}

  /**
   * What a read brought: parameters for the write, and prompt tokens found kept; or why it is none.
   */
  public record ReadReply(JsonNode transfer, int promptTokens, int cachedTokens, String problem) {}

  /** The body of a read. */
  public static byte[] readRequest(ObjectNode prompt, String requestId) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", 1).put("stream", false).put("request_id", requestId);
    body.putObject("kv_transfer_params")
        .put("do_remote_decode", true)
        .put("do_remote_prefill", false)
        .putNull("remote_engine_id")
        .putNull("remote_block_ids")
        .putNull("remote_host")
        .putNull("remote_port");
    return toBytes(body);
  }

  /**
   * The body of a write; without a state ({@code transfer} null) the server reads the prompt
   * itself.
   */
  public static byte[] writeRequest(
      ObjectNode prompt, String requestId, JsonNode transfer, int maxTokens) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", maxTokens).put("stream", true).put("request_id", requestId);
    body.putObject("stream_options").put("include_usage", true).put("continuous_usage_stats", true);
    if (transfer != null) {
      body.set("kv_transfer_params", transfer);
    }
    return toBytes(body);
  }

  /** The body of an abort. */
  public static byte[] abortRequest(String requestId) {
    return toBytes(MAPPER.createObjectNode().put("rid", requestId).put("abort_all", false));
  }

  private static byte[] toBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a tree can always be written", e);
    }
  }

  /** Reads the reply to a read. */
  public static ReadReply parseReadReply(byte[] body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (IOException e) {
      return new ReadReply(null, 0, 0, "the read's reply is not JSON");
    }
    JsonNode transfer = root == null ? null : root.get("kv_transfer_params");
    if (transfer == null || !transfer.isObject()) {
      return new ReadReply(null, 0, 0, "the read's reply has no kv_transfer_params");
    }
    JsonNode usage = root.path("usage");
    return new ReadReply(
        transfer,
        usage.path("prompt_tokens").asInt(0),
        usage.path("prompt_tokens_details").path("cached_tokens").asInt(0),
        null);
  }

  /** Reads the data of one event of a write's stream; what cannot be read becomes an error. */
  public static CompletionChunk parseChunk(String data) {
    if (data.equals("[DONE]")) {
      return CompletionChunk.LAST;
    }
    if (!data.contains("\"tool_calls\"") && !data.contains("\"error\"")) {
      return parseTextChunk(data);
    }
    JsonNode root;
    try {
      root = MAPPER.readTree(data);
    } catch (JsonProcessingException e) {
      return CompletionChunk.error("an event of the stream is not JSON");
    }
    if (root == null || !root.isObject()) {
      return CompletionChunk.error("an event of the stream is no object");
    }
    if (root.has("error")) {
      return CompletionChunk.error(errorMessage(root));
    }
    JsonNode choice = root.path("choices").path(0);
    JsonNode delta = choice.path("delta");
    List<CompletionChunk.ToolCallDelta> toolCalls = List.of();
    if (delta.path("tool_calls").isArray() && !delta.path("tool_calls").isEmpty()) {
      toolCalls = new ArrayList<>();
      for (JsonNode call : delta.path("tool_calls")) {
        JsonNode function = call.path("function");
        toolCalls.add(
            new CompletionChunk.ToolCallDelta(
                call.path("index").asInt(0),
                call.path("id").asText(""),
                function.path("name").asText(""),
                function.path("arguments").asText("")));
      }
    }
    JsonNode usage = root.path("usage");
    return new CompletionChunk(
        delta.path("content").asText(""),
        toolCalls,
        choice.path("finish_reason").isTextual() ? choice.path("finish_reason").textValue() : null,
        usage.path("prompt_tokens").asInt(-1),
        usage.path("prompt_tokens_details").path("cached_tokens").asInt(-1),
        usage.path("completion_tokens").asInt(-1),
        false,
        null);
  }

  /**
   * The common event, a piece of text: read token by token, since one comes for each token of each
   * answer.
   */
  private static CompletionChunk parseTextChunk(String data) {
    String text = "";
    String finishReason = null;
    int promptTokens = -1;
    int cachedTokens = -1;
    int completionTokens = -1;
    try (JsonParser parser = MAPPER.getFactory().createParser(data)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return CompletionChunk.error("an event of the stream is no object");
      }
      int depth = 1;
      while (depth > 0) {
        JsonToken token = parser.nextToken();
        if (token == null) {
          return CompletionChunk.error("an event of the stream is not JSON");
        }
        if (token.isStructStart()) {
          depth++;
        } else if (token.isStructEnd()) {
          depth--;
        } else if (token == JsonToken.FIELD_NAME) {
          String name = parser.currentName();
          JsonToken value = parser.nextToken();
          if (value == null) {
            return CompletionChunk.error("an event of the stream is not JSON");
          }
          if (value.isStructStart()) {
            if (name.equals("choices")
                || name.equals("delta")
                || name.equals("usage")
                || name.equals("prompt_tokens_details")) {
              depth++;
            } else {
              parser.skipChildren();
            }
          } else if (value == JsonToken.VALUE_STRING) {
            text = name.equals("content") ? parser.getText() : text;
            finishReason = name.equals("finish_reason") ? parser.getText() : finishReason;
          } else if (value == JsonToken.VALUE_NUMBER_INT) {
            promptTokens = name.equals("prompt_tokens") ? parser.getIntValue() : promptTokens;
            cachedTokens = name.equals("cached_tokens") ? parser.getIntValue() : cachedTokens;
            completionTokens =
                name.equals("completion_tokens") ? parser.getIntValue() : completionTokens;
          }
        }
      }
      return new CompletionChunk(
          text, List.of(), finishReason, promptTokens, cachedTokens, completionTokens, false, null);
    } catch (IOException e) {
      return CompletionChunk.error("an event of the stream is not JSON");
    }
  }

  /** A response that is no success, as the router hears of it. */
  public record ErrorReply(AttemptOutcome outcome, boolean stateMissing, String message) {}

  /**
   * What a status other than 200 means. 429 and 503 are an engine's word that it did not begin; any
   * other status may come after work, so it proves nothing.
   */
  public static ErrorReply parseErrorReply(int status, byte[] body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (IOException e) {
      root = null;
    }
    String message = "status " + status + (root == null ? "" : ": " + errorMessage(root));
    boolean full = status == 429 || status == 503;
    boolean stateMissing =
        full && root != null && STATE_MISSING.equals(root.path("error").path("code").asText(""));
    return new ErrorReply(
        full ? AttemptOutcome.REJECTED : AttemptOutcome.ERROR, stateMissing, message);
  }

  private static String errorMessage(JsonNode root) {
    JsonNode error = root.path("error");
    String text =
        error.isTextual()
            ? error.asText()
            : error.path("message").asText(root.path("message").asText(""));
    return text.length() > MAX_ERROR_CHARS ? text.substring(0, MAX_ERROR_CHARS) + "..." : text;
  }
}
