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

/** Parses and builds JSON-RPC 2.0 messages. Does no I/O and is thread-safe. */
public final class JsonRpc {
  /** Error code: the text is not JSON. */
  public static final int PARSE_ERROR = -32700;

  /** Error code: the JSON is not a JSON-RPC message. */
  public static final int INVALID_REQUEST = -32600;

  /** Error code: the method is unknown. */
  public static final int METHOD_NOT_FOUND = -32601;

  /** Error code: the method's parameters are invalid. */
  public static final int INVALID_PARAMS = -32602;

  /** Error code: an internal error of the server. */
  public static final int INTERNAL_ERROR = -32603;

  private static final int MAX_METHOD_LENGTH = 128;
  private static final int MAX_ID_LENGTH = 256;

  /** Maximum length, in characters, of a parser's message that is included in an error message. */
  private static final int MAX_REASON_LENGTH = 200;

  private final JsonMapper mapper;
  private final int maxBatch;

  /**
   * Limits on the content of one text.
   *
   * @param maxDepth maximum nesting depth of objects and arrays
   * @param maxBatch maximum number of messages in a batch
   * @param maxStringLength maximum length of a string, characters
   * @param maxNumberLength maximum length of a number, characters
   */
  public record Limits(int maxDepth, int maxBatch, int maxStringLength, int maxNumberLength) {
    /** Default limits, meant for unknown peers. */
    public static final Limits DEFAULT = new Limits(64, 50, 2 * 1024 * 1024, 100);
  }

  /**
   * The result of parsing one text: a single message or a batch.
   *
   * @param batch whether the text is an array of an allowed number of messages
   * @param messages the messages of the text; a text that cannot be parsed yields one {@link
   *     JsonRpcMessage.Invalid}
   */
  public record Parsed(boolean batch, List<JsonRpcMessage> messages) {}

  /** Creates a codec that parses within the given limits. */
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

  /** Parses one text in UTF-8; never throws for an invalid text. */
  public Parsed parse(byte[] text) {
    JsonNode root;
    try {
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      return parseError(describeParseError(e));
    } catch (IOException e) {
      return parseError(": not UTF-8");
    }
    if (root == null || root.isMissingNode()) {
      return parseError(": the text is empty");
    }
    if (!root.isArray()) {
      return single(parseMessage(root));
    }
    if (root.isEmpty() || root.size() > maxBatch) {
      return single(
          invalid(
              NullNode.instance,
              "a batch holds 1 to " + maxBatch + " messages, not " + root.size()));
    }
    List<JsonRpcMessage> messages = new ArrayList<>();
    root.forEach(node -> messages.add(parseMessage(node)));
    return new Parsed(true, messages);
  }

  private static Parsed parseError(String detail) {
    return single(
        new JsonRpcMessage.Invalid(NullNode.instance, PARSE_ERROR, "Parse error" + detail));
  }

  private static Parsed single(JsonRpcMessage message) {
    return new Parsed(false, List.of(message));
  }

  /** Describes where and why a text is not valid JSON. */
  private static String describeParseError(JsonProcessingException exception) {
    JsonLocation location = exception.getLocation();
    String place =
        location == null
            ? ""
            : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
    String reason = exception.getOriginalMessage();
    return place
        + ": "
        + (reason.length() > MAX_REASON_LENGTH
            ? reason.substring(0, MAX_REASON_LENGTH) + "..."
            : reason);
  }

  private static JsonRpcMessage parseMessage(JsonNode node) {
    if (!node.isObject()) {
      return invalid(NullNode.instance, "a message is an object");
    }
    JsonNode id = node.get("id");
    JsonNode responseId = isUsableId(id) ? id : NullNode.instance;
    JsonNode version = node.get("jsonrpc");
    if (version == null || !version.isTextual() || !version.textValue().equals("2.0")) {
      return invalid(responseId, "member 'jsonrpc' is not \"2.0\"");
    }
    return node.has("method") ? parseCall(node, id, responseId) : parseResponse(node, id);
  }

  private static boolean isUsableId(JsonNode id) {
    return id != null
        && (id.isIntegralNumber() || id.isTextual() && id.textValue().length() <= MAX_ID_LENGTH);
  }

  private static JsonRpcMessage parseCall(JsonNode node, JsonNode id, JsonNode responseId) {
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

  private static JsonRpcMessage parseResponse(JsonNode node, JsonNode id) {
    JsonNode result = node.get("result");
    JsonNode error = node.get("error");
    boolean usableId = isUsableId(id);
    if (result == null && error == null) {
      return invalid(usableId ? id : NullNode.instance, "no member 'method', 'result' or 'error'");
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
    if (!usableId && !(error != null && (id == null || id.isNull()))) {
      return invalid(NullNode.instance, "a response without the id of its call");
    }
    return new JsonRpcMessage.Response(id == null ? NullNode.instance : id, result, error);
  }

  private static JsonRpcMessage.Invalid invalid(JsonNode id, String reason) {
    return new JsonRpcMessage.Invalid(id, INVALID_REQUEST, "Invalid Request: " + reason);
  }

  /** Builds a response with a result. */
  public static ObjectNode result(JsonNode id, JsonNode result) {
    ObjectNode node = emptyMessage();
    node.set("id", id);
    node.set("result", result);
    return node;
  }

  /** Builds a response with an error; data may be null. */
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

  /** Builds a request, which expects a response; params may be null. */
  public static ObjectNode request(JsonNode id, String method, JsonNode params) {
    ObjectNode node = emptyMessage();
    node.set("id", id);
    return withMethod(node, method, params);
  }

  /** Builds a notification, which expects no response; params may be null. */
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
