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
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import lemondock.dispatch.StableHash;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Reads the arguments of a call, validates them against the tool's published schema and counts
 * their tokens with a tokenizer library. The router uses the counts as estimates; no call is
 * accepted or rejected here because of them. Thread-safe.
 */
public final class PromptReader {
  /** Approximate number of tokens that a chat template adds to each message. */
  private static final int MESSAGE_OVERHEAD_TOKENS = 4;

  private static final int MAX_REPORTED_PROBLEMS = 5;

  private final List<GatewaySettings.ClassSettings> classes;
  private final Map<String, Integer> classIds = new HashMap<>();

  /** Indexed by class id. */
  private final List<JsonSchema> schemas = new ArrayList<>();

  private final ArrayNode toolList = JsonNodeFactory.instance.arrayNode();
  private final Encoding encoding =
      Encodings.newDefaultEncodingRegistry().getEncoding(EncodingType.CL100K_BASE);

  /** Thrown for invalid arguments; the message gives the JSON pointer and the problem. */
  public static final class InvalidArgumentsException extends Exception {
    private static final long serialVersionUID = 1L;

    InvalidArgumentsException(String message) {
      super(message);
    }
  }

  /** Creates a reader for the request classes of the settings. */
  public PromptReader(List<GatewaySettings.ClassSettings> classes) {
    this.classes = classes;
    SchemaValidatorsConfig config =
        SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
    JsonSchemaFactory factory = JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012);
    for (GatewaySettings.ClassSettings requestClass : classes) {
      ObjectNode schema = ToolSchema.of(requestClass);
      classIds.put(requestClass.name(), schemas.size());
      schemas.add(factory.getSchema(schema, config));
      toolList.add(mcpTool(requestClass, schema));
    }
  }

  private static ObjectNode mcpTool(GatewaySettings.ClassSettings requestClass, ObjectNode schema) {
    ObjectNode tool = JsonNodeFactory.instance.objectNode().put("name", requestClass.name());
    if (!requestClass.description().isEmpty()) {
      tool.put("description", requestClass.description());
    }
    tool.set("inputSchema", schema);
    tool.putObject("annotations").put("idempotentHint", requestClass.isIdempotent());
    return tool;
  }

  /** The tools in the format of {@code tools/list}; a copy. */
  public ArrayNode toolList() {
    return toolList.deepCopy();
  }

  /** The id of the request class with a name; empty if there is none. */
  public OptionalInt classId(String name) {
    Integer classId = classIds.get(name);
    return classId == null ? OptionalInt.empty() : OptionalInt.of(classId);
  }

  private int tokenCount(String text) {
    return text.isEmpty() ? 0 : encoding.countTokensOrdinary(text);
  }

  /**
   * Reads the arguments of a call.
   *
   * @param classId id of the call's request class
   * @param arguments null if the call has none
   * @throws InvalidArgumentsException if the arguments do not match the schema, or if two tools
   *     have the same name
   */
  public Prompt read(int classId, JsonNode arguments) throws InvalidArgumentsException {
    JsonNode nonNullArguments =
        arguments == null ? JsonNodeFactory.instance.objectNode() : arguments;
    validate(classId, nonNullArguments);
    ArrayNode messages = messages(nonNullArguments);
    Optional<JsonNode> tools = tools(nonNullArguments);
    int classMaxTokens = classes.get(classId).maxTokens();
    return new Prompt(
        classId,
        messages,
        tools,
        Math.min(classMaxTokens, nonNullArguments.path("max_tokens").asInt(classMaxTokens)),
        Optional.ofNullable(nonNullArguments.path("conversation").textValue()),
        countTokens(messages, tools));
  }

  private void validate(int classId, JsonNode arguments) throws InvalidArgumentsException {
    Set<ValidationMessage> problems = schemas.get(classId).validate(arguments);
    if (!problems.isEmpty()) {
      throw new InvalidArgumentsException(
          problems.stream()
              .limit(MAX_REPORTED_PROBLEMS)
              .map(PromptReader::describe)
              .collect(Collectors.joining("; ")));
    }
  }

  private static String describe(ValidationMessage problem) {
    String message = problem.getMessage();
    int colon = message.indexOf(": ");
    String expected = colon < 0 ? message : message.substring(colon + 2);
    return "/arguments" + problem.getInstanceLocation() + ": " + expected;
  }

  private static ArrayNode messages(JsonNode arguments) {
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    if (arguments.has("messages")) {
      messages.addAll((ArrayNode) arguments.get("messages"));
    } else {
      messages.addObject().put("role", "user").put("content", arguments.get("prompt").textValue());
    }
    return messages;
  }

  /** Converts the tools that the client offers to the engines' format. */
  private static Optional<JsonNode> tools(JsonNode arguments) throws InvalidArgumentsException {
    JsonNode mcpTools = arguments.path("tools");
    if (mcpTools.isEmpty()) {
      return Optional.empty();
    }
    Set<String> names = new HashSet<>();
    ArrayNode definitions = JsonNodeFactory.instance.arrayNode();
    for (int i = 0; i < mcpTools.size(); i++) {
      if (!names.add(mcpTools.get(i).path("name").textValue())) {
        throw new InvalidArgumentsException(
            "/arguments/tools/" + i + "/name: a name that another tool has");
      }
      definitions.add(engineToolDefinition(mcpTools.get(i)));
    }
    return Optional.of(definitions);
  }

  private static ObjectNode engineToolDefinition(JsonNode mcpTool) {
    ObjectNode definition = JsonNodeFactory.instance.objectNode().put("type", "function");
    ObjectNode function = definition.putObject("function");
    function.put("name", mcpTool.path("name").textValue());
    if (mcpTool.has("description")) {
      function.set("description", mcpTool.get("description"));
    }
    function.set(
        "parameters",
        mcpTool.has("inputSchema")
            ? mcpTool.get("inputSchema")
            : JsonNodeFactory.instance.objectNode().put("type", "object"));
    return definition;
  }

  private Prompt.Size countTokens(ArrayNode messages, Optional<JsonNode> tools) {
    StringBuilder prefix = new StringBuilder(tools.map(JsonNode::toString).orElse(""));
    int tokens = tokenCount(prefix.toString());
    int prefixTokens = 0;
    boolean inPrefix = true;
    for (JsonNode message : messages) {
      int messageTokens = tokenCount(content(message)) + MESSAGE_OVERHEAD_TOKENS;
      inPrefix &= message.path("role").asText().equals("system");
      if (inPrefix) {
        prefix.append('\n').append(content(message));
        prefixTokens = tokens + messageTokens;
      }
      tokens += messageTokens;
    }
    long prefixKey = prefixTokens == 0 ? 0 : StableHash.of(prefix.toString());
    return new Prompt.Size(tokens, prefixKey, prefixTokens);
  }

  private static String content(JsonNode message) {
    JsonNode content = message.path("content");
    if (content.isTextual()) {
      return content.textValue();
    }
    return content.isMissingNode() ? "" : content.toString();
  }
}
