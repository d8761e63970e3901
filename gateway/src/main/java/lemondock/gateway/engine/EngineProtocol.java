package lemondock.gateway.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import lemondock.policy.AttemptOutcome;

/**
 * Requests and replies of the OpenAI-compatible chat completions API, as vLLM serves it with its
 * prefill and decode disaggregated. A prefill is a completion of one token that asks for a remote
 * decode; what it returns as {@code kv_transfer_params} goes into the decode. No I/O; safe for any
 * thread.
 */
public final class EngineProtocol {
  /** The path of chat completions. */
  public static final String COMPLETIONS_PATH = "/v1/chat/completions";

  /** The path that releases a request and the state reserved for it (SGLang's published API). */
  public static final String ABORT_PATH = "/abort_request";

  /** The error code of a decode engine that found no state to fetch. */
  public static final String STATE_MISSING = "kv_state_missing";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TRANSFER_FIELD = "kv_transfer_params";
  private static final int MAX_ERROR_CHARS = 200;

  private EngineProtocol() {}

  /** The body of a prefill. */
  public static byte[] prefillRequest(ObjectNode prompt, String requestId) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", 1).put("stream", false).put("request_id", requestId);
    body.putObject(TRANSFER_FIELD)
        .put("do_remote_decode", true)
        .put("do_remote_prefill", false)
        .putNull("remote_engine_id")
        .putNull("remote_block_ids")
        .putNull("remote_host")
        .putNull("remote_port");
    return toBytes(body);
  }

  /**
   * The body of a decode.
   *
   * @param transfer names the state to start from; without one the engine reads the prompt itself
   */
  public static byte[] decodeRequest(
      ObjectNode prompt, String requestId, Optional<JsonNode> transfer, int maxTokens) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", maxTokens).put("stream", true).put("request_id", requestId);
    body.putObject("stream_options").put("include_usage", true).put("continuous_usage_stats", true);
    transfer.ifPresent(state -> body.set(TRANSFER_FIELD, state));
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

  /** Reads the reply to a prefill. */
  public static PrefillReply parsePrefillReply(byte[] body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (IOException e) {
      return new PrefillReply.Malformed("the read's reply is not JSON");
    }
    JsonNode transfer = root.path(TRANSFER_FIELD);
    if (!transfer.isObject()) {
      return new PrefillReply.Malformed("the read's reply has no kv_transfer_params");
    }
    JsonNode details = root.path("usage").path("prompt_tokens_details");
    return new PrefillReply.Completed(transfer, details.path("cached_tokens").asInt(0));
  }

  /**
   * A response that is no success.
   *
   * @param outcome what the router hears
   * @param stateMissing whether a decode engine found no state to fetch
   * @param message for the log
   */
  public record ErrorReply(AttemptOutcome outcome, boolean stateMissing, String message) {}

  /**
   * Reads a response with a status other than 200. With 429 and 503 an engine says that it did not
   * begin; any other status may come after work, so it proves nothing.
   */
  public static ErrorReply parseErrorReply(int status, byte[] body) {
    Optional<JsonNode> root = parseJson(body);
    String message = "status " + status + root.map(node -> ": " + errorMessage(node)).orElse("");
    if (status != 429 && status != 503) {
      return new ErrorReply(AttemptOutcome.ERROR, false, message);
    }
    String code = root.map(node -> node.path("error").path("code").asText("")).orElse("");
    return new ErrorReply(AttemptOutcome.REJECTED, code.equals(STATE_MISSING), message);
  }

  private static Optional<JsonNode> parseJson(byte[] body) {
    try {
      return Optional.ofNullable(MAPPER.readTree(body));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /** The message of an engine's error, bounded. */
  static String errorMessage(JsonNode root) {
    JsonNode error = root.path("error");
    String text =
        error.isTextual()
            ? error.asText()
            : error.path("message").asText(root.path("message").asText(""));
    return text.length() > MAX_ERROR_CHARS ? text.substring(0, MAX_ERROR_CHARS) + "..." : text;
  }
}
