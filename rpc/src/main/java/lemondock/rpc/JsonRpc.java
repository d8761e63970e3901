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
  /** Error codes of the specification. */
  public static final int PARSE_ERROR = -32700;

  public static final int INVALID_REQUEST = -32600;
  public static final int METHOD_NOT_FOUND = -32601;
  public static final int INVALID_PARAMS = -32602;
  public static final int INTERNAL_ERROR = -32603;

  private static final int MOST_METHOD = 128;
  private static final int MOST_ID = 256;

  private final JsonMapper mapper;
  private final int batch;

  /** What one text may hold. */
  public record Limits(int maxDepth, int maxBatch, int maxStringLength, int maxNumberLength) {
    /** Limits for peers that are not known. */
    public static final Limits DEFAULT = new Limits(64, 50, 2 * 1024 * 1024, 100);
  }

  /** One text: a single message or a batch; an unreadable text is one {@link Message.Invalid}. */
  public record Parsed(boolean batch, List<JsonRpcMessage> messages) {}

  /** Makes a reader with limits. */
  public JsonRpc(Limits limits) {
    this.batch = limits.maxBatch();
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

  /** Reads one text. */
  public Parsed parse(byte[] text) {
    JsonNode root;
    try {
      root = mapper.readTree(text);
    } catch (JsonProcessingException e) {
      return one(
          new JsonRpcMessage.Invalid(NullNode.instance, PARSE_ERROR, "Parse error" + where(e)));
    } catch (IOException e) {
      return one(
          new JsonRpcMessage.Invalid(NullNode.instance, PARSE_ERROR, "Parse error: not UTF-8"));
    }
    if (root == null || root.isMissingNode()) {
      return one(
          new JsonRpcMessage.Invalid(
              NullNode.instance, PARSE_ERROR, "Parse error: the text is empty"));
    }
    if (!root.isArray()) {
      return one(message(root));
    }
    if (root.isEmpty() || root.size() > batch) {
      return one(
          new JsonRpcMessage.Invalid(
              NullNode.instance,
              INVALID_REQUEST,
              "Invalid Request: a batch holds 1 to " + batch + " messages, not " + root.size()));
    }
    List<JsonRpcMessage> messages = new ArrayList<>();
    root.forEach(node -> messages.add(message(node)));
    return new Parsed(true, messages);
  }

  private static Parsed one(JsonRpcMessage message) {
    return new Parsed(false, List.of(message));
  }

  private static String where(JsonProcessingException e) {
    JsonLocation at = e.getLocation();
    String place = at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
    String what = e.getOriginalMessage();
    return place + ": " + (what.length() > 200 ? what.substring(0, 200) + "..." : what);
  }

  private static JsonRpcMessage message(JsonNode node) {
    if (!node.isObject()) {
      return invalid(NullNode.instance, "a message is an object");
    }
    JsonNode id = node.get("id");
    boolean usable =
        id != null
            && (id.isIntegralNumber() || id.isTextual() && id.textValue().length() <= MOST_ID);
    JsonNode known = usable ? id : NullNode.instance;
    JsonNode version = node.get("jsonrpc");
    if (version == null || !version.isTextual() || !version.textValue().equals("2.0")) {
      return invalid(known, "member 'jsonrpc' is not \"2.0\"");
    }
    JsonNode method = node.get("method");
    if (method == null) {
      return response(node, id, usable);
    }
    if (!method.isTextual()
        || method.textValue().isEmpty()
        || method.textValue().length() > MOST_METHOD) {
      return invalid(
          known, "member 'method' is not a name of at most " + MOST_METHOD + " characters");
    }
    if (node.has("result") || node.has("error")) {
      return invalid(known, "a call with a result or an error");
    }
    JsonNode params = node.get("params");
    if (params != null && !params.isContainerNode()) {
      return invalid(known, "member 'params' is neither object nor array");
    }
    if (id == null) {
      return new JsonRpcMessage.Notification(method.textValue(), params);
    }
    if (!usable) {
      return invalid(
          NullNode.instance,
          "member 'id' is neither a whole number nor a string of at most "
              + MOST_ID
              + " characters");
    }
    return new JsonRpcMessage.Request(id, method.textValue(), params);
  }

  private static ObjectNode message() {
    return JsonNodeFactory.instance.objectNode().put("jsonrpc", "2.0");
  }

  private static JsonRpcMessage response(JsonNode node, JsonNode id, boolean usable) {
    JsonNode result = node.get("result");
    JsonNode error = node.get("error");
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

  private static JsonRpcMessage.Invalid invalid(JsonNode id, String what) {
    return new JsonRpcMessage.Invalid(id, INVALID_REQUEST, "Invalid Request: " + what);
  }

  /** A response with a result. */
  public static ObjectNode result(JsonNode id, JsonNode result) {
    ObjectNode node = message();
    node.set("id", id);
    node.set("result", result);
    return node;
  }

  /** A response with an error; data may be null. */
  public static ObjectNode error(JsonNode id, int code, String text, JsonNode data) {
    ObjectNode node = message();
    node.set("id", id);
    ObjectNode error = node.putObject("error");
    error.put("code", code).put("message", text);
    if (data != null) {
      error.set("data", data);
    }
    return node;
  }

  /** A call. */
  public static ObjectNode request(JsonNode id, String method, JsonNode params) {
    ObjectNode node = message();
    node.set("id", id);
    return call(node, method, params);
  }

  /** A call that wants no response. */
  public static ObjectNode notification(String method, JsonNode params) {
    return call(message(), method, params);
  }

  private static ObjectNode call(ObjectNode node, String method, JsonNode params) {
    node.put("method", method);
    if (params != null) {
      node.set("params", params);
    }
    return node;
  }
}
