package lemondock.gateway.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Optional;
import lemondock.policy.AttemptOutcome;

/**
 * Encodes requests and parses replies of the OpenAI-compatible chat completions API, as vLLM serves
 * it with disaggregated prefill and decode. A prefill is a completion of one token that asks for a
 * remote decode; the {@code kv_transfer_params} of its reply are sent with the decode. No I/O;
 * thread-safe.
 */
public final class EngineProtocol {
  /** Path of the chat completions endpoint. */
  public static final String COMPLETIONS_PATH = "/v1/chat/completions";

  /** Path that aborts a request and releases its reserved state (SGLang's documented API). */
  public static final String ABORT_PATH = "/abort_request";

  /** Error code of a decode engine that did not find the reserved state. */
  public static final String STATE_MISSING = "kv_state_missing";

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String TRANSFER_PARAMS_FIELD = "kv_transfer_params";
  private static final int MAX_ERROR_CHARS = 200;

  private EngineProtocol() {}

  /** Encodes the body of a prefill. */
  public static byte[] prefillRequest(ObjectNode prompt, String requestId) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", 1).put("stream", false).put("request_id", requestId);
    body.putObject(TRANSFER_PARAMS_FIELD)
        .put("do_remote_decode", true)
        .put("do_remote_prefill", false)
        .putNull("remote_engine_id")
        .putNull("remote_block_ids")
        .putNull("remote_host")
        .putNull("remote_port");
    return toBytes(body);
  }

  /**
   * Encodes the body of a decode.
   *
   * @param transferParams identifies the reserved state to start from; if empty, the engine does
   *     the prefill itself
   */
  public static byte[] decodeRequest(
      ObjectNode prompt, String requestId, Optional<JsonNode> transferParams, int maxTokens) {
    ObjectNode body = prompt.deepCopy();
    body.put("max_tokens", maxTokens).put("stream", true).put("request_id", requestId);
    body.putObject("stream_options").put("include_usage", true).put("continuous_usage_stats", true);
    transferParams.ifPresent(params -> body.set(TRANSFER_PARAMS_FIELD, params));
    return toBytes(body);
  }

  /** Encodes the body of an abort. */
  public static byte[] abortRequest(String requestId) {
    return toBytes(MAPPER.createObjectNode().put("rid", requestId).put("abort_all", false));
  }

  private static byte[] toBytes(JsonNode node) {
    try {
      return MAPPER.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("JSON tree could not be serialized", e);
    }
  }

  /** Parses the reply to a prefill. */
  public static PrefillReply parsePrefillReply(byte[] body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (IOException e) {
      return new PrefillReply.Malformed("prefill reply is not JSON");
    }
    JsonNode transferParams = root.path(TRANSFER_PARAMS_FIELD);
    if (!transferParams.isObject()) {
      return new PrefillReply.Malformed("prefill reply has no kv_transfer_params object");
    }
    JsonNode details = root.path("usage").path("prompt_tokens_details");
    return new PrefillReply.Completed(transferParams, details.path("cached_tokens").asInt(0));
  }

  /**
   * A response with an error status.
   *
   * @param outcome the attempt outcome that is reported to the router
   * @param stateMissing whether a decode engine did not find the reserved state
   * @param message text for logs
   */
  public record ErrorReply(AttemptOutcome outcome, boolean stateMissing, String message) {}

  /**
   * Parses a response with a status other than 200. Statuses 429 and 503 mean that the engine did
   * not begin the request. With any other status the engine may have processed it, so the attempt
   * counts as failed and not as rejected.
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

  /** The message of an engine's error, truncated to {@link #MAX_ERROR_CHARS} characters. */
  static String errorMessage(JsonNode root) {
    JsonNode error = root.path("error");
    String text =
        error.isTextual()
            ? error.asText()
            : error.path("message").asText(root.path("message").asText(""));
    return text.length() > MAX_ERROR_CHARS ? text.substring(0, MAX_ERROR_CHARS) + "..." : text;
  }
}
