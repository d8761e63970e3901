package lemondock.rpc;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Reads and writes JSON-RPC 2.0 messages; no I/O. Safe for any thread. */
public final class JsonRpc {
  /** Error code: the text is not JSON. */
  public static final int PARSE_ERROR = -32700;

  /** Error code: the JSON is not a JSON-RPC message. */
  public static final int INVALID_REQUEST = -32600;

  /** Error code: the method is not known. */
  public static final int METHOD_NOT_FOUND = -32601;

  /** Error code: the method's parameters are wrong. */
  public static final int INVALID_PARAMS = -32602;

  /** Error code: the server failed. */
  public static final int INTERNAL_ERROR = -32603;

  private static final int MAX_METHOD_LENGTH = 128;
  private static final int MAX_ID_LENGTH = 256;

  /** Characters of a parser's message that are passed on. */
  private static final int MAX_REASON_LENGTH = 200;

  private final JsonMapper mapper;
  private final int maxBatch;

  /**
   * What one text may hold.
   *
   * @param maxDepth levels of nested objects and arrays
   * @param maxBatch messages of a batch
   * @param maxStringLength characters of a string
   * @param maxNumberLength characters of a number
   */
  public record Limits(int maxDepth, int maxBatch, int maxStringLength, int maxNumberLength) {
    /** Limits for unknown peers. */
    public static final Limits DEFAULT = new Limits(64, 50, 2 * 1024 * 1024, 100);
  }

  /**
   * One text: a single message or a batch.
   *
   * @param batch whether the text is an array
   * @param messages what it holds; an unreadable text is one {@link JsonRpcMessage.Invalid}
   */
  public record Parsed(boolean batch, List<JsonRpcMessage> messages) {}

  /** Makes a codec that reads within limits. */
  public JsonRpc(Limits limits) {
    this.maxBatch = limits.maxBatch();
    JsonFactory factory =
        JsonFactory.builder()
            .streamReadConstraints(
                StreamReadConstraints.builder()
                    .maxNestingDepth(limits.maxDepth())
                    .maxStringLength(limits.maxStringLength())
                    .maxNumberLength(limits.maxNumberLength())
                    .build())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    this.mapper =
        JsonMapper.builder(factory).enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();
  }

  /** Reads one text (UTF-8). */
  public Parsed parse(byte[] text) {
    JsonNode root;
    try {
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      return parseError(describe(e));
    } catch (IOException e) {
      return parseError(": not UTF-8");
    }
    if (root == null || root.isMissingNode()) {
      return parseError(": the text is empty");
    }
    if (!root.isArray()) {
      return single(message(root));
    }
    if (root.isEmpty() || root.size() > maxBatch) {
      return single(
          invalid(
              NullNode.instance,
              "a batch holds 1 to " + maxBatch + " messages, not " + root.size()));
    }
    List<JsonRpcMessage> messages = new ArrayList<>();
    root.forEach(node -> messages.add(message(node)));
    return new Parsed(true, messages);
  }

  private static Parsed parseError(String detail) {
    return single(
        new JsonRpcMessage.Invalid(NullNode.instance, PARSE_ERROR, "Parse error" + detail));
  }

  private static Parsed single(JsonRpcMessage message) {
    return new Parsed(false, List.of(message));
  }

  /** Where and why a text is not JSON. */
  private static String describe(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    String place =
        location == null
            ? ""
            : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
    String reason = e.getOriginalMessage();
    return place
        + ": "
        + (reason.length() > MAX_REASON_LENGTH
            ? reason.substring(0, MAX_REASON_LENGTH) + "..."
            : reason);
  }

  private static JsonRpcMessage message(JsonNode node) {
    if (!node.isObject()) {
      return invalid(NullNode.instance, "a message is an object");
    }
    JsonNode id = node.get("id");
    JsonNode responseId = isUsableId(id) ? id : NullNode.instance;
    JsonNode version = node.get("jsonrpc");
    if (version == null || !version.isTextual() || !version.textValue().equals("2.0")) {
      return invalid(responseId, "member 'jsonrpc' is not \"2.0\"");
    }
    return node.has("method") ? call(node, id, responseId) : response(node, id);
  }

  private static boolean isUsableId(JsonNode id) {
    return id != null
        && (id.isIntegralNumber() || id.isTextual() && id.textValue().length() <= MAX_ID_LENGTH);
  }

  private static JsonRpcMessage call(JsonNode node, JsonNode id, JsonNode responseId) {
    JsonNode method = node.get("method");
    if (!method.isTextual()
        || method.textValue().isEmpty()
        || method.textValue().length() > MAX_METHOD_LENGTH) {
      return invalid(
          responseId,
          "member 'method' is not a name of at most " + MAX_METHOD_LENGTH + " characters");
    }
    if (node.has("result") || node.has("error")) {
      return invalid(responseId, "a call with a result or an error");
    }
    JsonNode params = node.get("params");
    if (params != null && !params.isContainerNode()) {
      return invalid(responseId, "member 'params' is neither object nor array");
    }
    if (id == null) {
      return new JsonRpcMessage.Notification(method.textValue(), params);
    }
    if (!isUsableId(id)) {
      return invalid(
          NullNode.instance,
          "member 'id' is neither a whole number nor a string of at most "
              + MAX_ID_LENGTH
              + " characters");
    }
    return new JsonRpcMessage.Request(id, method.textValue(), params);
  }

  private static ObjectNode emptyMessage() {
    return JsonNodeFactory.instance.objectNode().put("jsonrpc", "2.0");
  }

  private static JsonRpcMessage response(JsonNode node, JsonNode id) {
    JsonNode result = node.get("result");
    JsonNode error = node.get("error");
    boolean usable = isUsableId(id);
    if (result == null && error == null) {
      return invalid(usable ? id : NullNode.instance, "no member 'method', 'result' or 'error'");
    }
    if (result != null && error != null) {
      return invalid(NullNode.instance, "both a result and an error");
    }
    if (error != null
        && !(error.isObject()
            && error.path("code").isIntegralNumber()
            && error.path("message").isTextual())) {
      return invalid(NullNode.instance, "an error without a code and a message");
    }
    if (!usable && !(error != null && (id == null || id.isNull()))) {
      return invalid(NullNode.instance, "a response without the id of its call");
    }
    return new JsonRpcMessage.Response(id == null ? NullNode.instance : id, result, error);
  }

  private static JsonRpcMessage.Invalid invalid(JsonNode id, String reason) {
    return new JsonRpcMessage.Invalid(id, INVALID_REQUEST, "Invalid Request: " + reason);
  }

  /** Makes a response with a result. */
  public static ObjectNode result(JsonNode id, JsonNode result) {
    ObjectNode node = emptyMessage();
    node.set("id", id);
    node.set("result", result);
    return node;
  }

  /** Makes a response with an error; data may be null. */
  public static ObjectNode error(JsonNode id, int code, String message, JsonNode data) {
    ObjectNode node = emptyMessage();
    node.set("id", id);
    ObjectNode error = node.putObject("error");
    error.put("code", code).put("message", message);
    if (data != null) {
      error.set("data", data);
    }
    return node;
  }

  /** Makes a call that wants a response; params may be null. */
  public static ObjectNode request(JsonNode id, String method, JsonNode params) {
    ObjectNode node = emptyMessage();
    node.set("id", id);
    return withMethod(node, method, params);
  }

  /** Makes a call that wants no response; params may be null. */
  public static ObjectNode notification(String method, JsonNode params) {
    return withMethod(emptyMessage(), method, params);
  }

  private static ObjectNode withMethod(ObjectNode node, String method, JsonNode params) {
    node.put("method", method);
    if (params != null) {
      node.set("params", params);
    }
    return node;
  }
}
