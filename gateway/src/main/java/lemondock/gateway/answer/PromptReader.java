package lemondock.gateway.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.knuddels.jtokkit.Encodings;
import com.knuddels.jtokkit.api.Encoding;
import com.knuddels.jtokkit.api.EncodingType;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import lemondock.dispatch.StableHash;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Reads the arguments of a call, checks them against the tool's published schema and counts tokens
 * with a tokenizer library. What it counts informs the router; it decides nothing. Safe for any
 * thread.
 */
public final class PromptReader {
  private static final int MESSAGE_OVERHEAD_TOKENS =
      4; // tokens that a chat template adds to a message, about
  private static final int MAX_REPORTED_PROBLEMS = 5;
  private static final int MAX_TOOLS = 64;

  private final List<GatewaySettings.ClassSettings> classes;
  private final Map<String, Integer> classIds = new HashMap<>();
  private final List<JsonSchema> schemas = new ArrayList<>();
  private final ArrayNode toolList = JsonNodeFactory.instance.arrayNode();
  private final Encoding encoding =
      Encodings.newDefaultEncodingRegistry().getEncoding(EncodingType.CL100K_BASE);

  /** Arguments that cannot be used; the message names the place and what was expected. */
  public static final class InvalidArgumentsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidArgumentsException(String message) {
      super(message);
    }
  }

  /** Makes a reader for the classes of the settings. */
  public PromptReader(List<GatewaySettings.ClassSettings> classes) {
    this.classes = classes;
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
    for (GatewaySettings.ClassSettings requestClass : classes) {
      ObjectNode schema = inputSchema(requestClass);
      classIds.put(requestClass.name(), schemas.size());
      schemas.add(factory.getSchema(schema, config));
      ObjectNode tool = toolList.addObject();
      tool.put("name", requestClass.name());
      if (!requestClass.description().isEmpty()) {
        tool.put("description", requestClass.description());
      }
      tool.set("inputSchema", schema);
      tool.set(
          "annotations",
          JsonNodeFactory.instance.objectNode().put("idempotentHint", requestClass.isIdempotent()));
    }
  }

  /** The tools as {@code tools/list} gives them. */
  public ArrayNode toolList() {
    return toolList.deepCopy();
  }

  /** The class of that name, or -1. */
  public int classId(String name) {
    return classIds.getOrDefault(name, -1);
  }

  /** Tokens of a text. */
  public int tokenCount(String text) {
    return text.isEmpty() ? 0 : encoding.countTokensOrdinary(text);
  }

  /** Reads the arguments of a call of a class. */
  public Prompt read(int classId, JsonNode arguments) throws InvalidArgumentsException {
    JsonNode given = arguments == null ? JsonNodeFactory.instance.objectNode() : arguments;
    Set<ValidationMessage> problems = schemas.get(classId).validate(given);
    if (!problems.isEmpty()) {
      throw new InvalidArgumentsException(
          problems.stream()
              .limit(MAX_REPORTED_PROBLEMS)
              .map(
                  message ->
                      "/arguments"
                          + message.getInstanceLocation()
                          + ": "
                          + afterColon(message.getMessage()))
              .collect(Collectors.joining("; ")));
    }
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    if (given.has("messages")) {
      messages.addAll((ArrayNode) given.get("messages"));
    } else {
      messages.addObject().put("role", "user").put("content", given.get("prompt").textValue());
    }
    JsonNode tools =
        given.has("tools") && !given.get("tools").isEmpty()
            ? toolDefinitions(given.get("tools"))
            : null;
    Set<String> names = new LinkedHashSet<>();
    if (tools != null) {
      for (int i = 0; i < tools.size(); i++) {
        if (!names.add(tools.get(i).path("function").path("name").textValue())) {
          throw new InvalidArgumentsException(
              "/arguments/tools/" + i + "/name: a name that another tool has");
        }
      }
    }
    int classMaxTokens = classes.get(classId).maxTokens();
    return countTokens(
        classId,
        messages,
        tools,
        names,
        Math.min(classMaxTokens, given.path("max_tokens").asInt(classMaxTokens)),
        given.has("conversation") ? given.get("conversation").textValue() : null);
  }

  /**
   * The opening is what other conversations begin with too: the tools and the system messages at
   * the start.
   */
  private Prompt countTokens(
      int classId,
      ArrayNode messages,
      JsonNode tools,
      Set<String> names,
      int maxTokens,
      String conversation) {
    StringBuilder opening = new StringBuilder(tools == null ? "" : tools.toString());
    int tokens = tokenCount(opening.toString());
    int prefixTokens = 0;
    boolean inOpening = true;
    for (JsonNode message : messages) {
      int messageTokens = tokenCount(content(message)) + MESSAGE_OVERHEAD_TOKENS;
      inOpening &= message.path("role").asText().equals("system");
      if (inOpening) {
        opening.append('\n').append(content(message));
        prefixTokens = tokens + messageTokens;
      }
      tokens += messageTokens;
    }
    long prefix = prefixTokens == 0 ? 0 : StableHash.of(opening.toString());
    return new Prompt(
        classId, messages, tools, names, maxTokens, conversation, tokens, prefix, prefixTokens);
  }

  private static String content(JsonNode message) {
    JsonNode content = message.path("content");
    return content.isTextual()
        ? content.textValue()
        : content.isMissingNode() ? "" : content.toString();
  }

  private static JsonNode toolDefinitions(JsonNode mcpTools) {
    ArrayNode tools = JsonNodeFactory.instance.arrayNode();
    for (JsonNode tool : mcpTools) {
      ObjectNode function = tools.addObject().put("type", "function").putObject("function");
      function.put("name", tool.path("name").textValue());
      if (tool.has("description")) {
        function.set("description", tool.get("description"));
      }
      function.set(
          "parameters",
          tool.has("inputSchema")
              ? tool.get("inputSchema")
              : JsonNodeFactory.instance.objectNode().put("type", "object"));
    }
    return tools;
  }

  private static String afterColon(String message) {
    int colon = message.indexOf(": ");
    return colon < 0 ? message : message.substring(colon + 2);
  }

  private static ObjectNode inputSchema(GatewaySettings.ClassSettings requestClass) {
    ObjectNode schema = JsonNodeFactory.instance.objectNode().put("type", "object");
    ObjectNode properties = schema.putObject("properties");
    ObjectNode message =
        properties
            .putObject("messages")
            .put("type", "array")
            .put("minItems", 1)
            .put("description", "Chat messages, the last of them to be answered")
            .putObject("items")
            .put("type", "object");
    message.putArray("required").add("role").add("content");
    ObjectNode parts = message.putObject("properties");
    parts.putObject("role").putArray("enum").add("system").add("user").add("assistant");
    parts.putObject("content").put("type", "string");
    properties
        .putObject("prompt")
        .put("type", "string")
        .put("minLength", 1)
        .put("description", "A single message in place of messages");
    properties
        .putObject("max_tokens")
        .put("type", "integer")
        .put("minimum", 1)
        .put("maximum", requestClass.maxTokens());
    properties
        .putObject("conversation")
        .put("type", "string")
        .put("minLength", 1)
        .put("maxLength", 256)
        .put("description", "Names the conversation; its later turns are read faster");
    ObjectNode tools =
        properties
            .putObject("tools")
            .put("type", "array")
            .put("maxItems", MAX_TOOLS)
            .put(
                "description",
                "MCP tools that the client runs when they are called in the middle"
                    + " of the answer");
    ObjectNode tool = tools.putObject("items").put("type", "object");
    tool.putArray("required").add("name");
    ObjectNode fields = tool.putObject("properties");
    fields.putObject("name").put("type", "string").put("minLength", 1).put("maxLength", 128);
    fields.putObject("description").put("type", "string");
    fields.putObject("inputSchema").put("type", "object");
    ArrayNode either = schema.putArray("oneOf");
    either.addObject().putArray("required").add("messages");
    either.addObject().putArray("required").add("prompt");
    schema.put("additionalProperties", false);
    return schema;
  }
}
