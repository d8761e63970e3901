package lemondock.gateway.answer;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import lemondock.gateway.settings.GatewaySettings;

/** The JSON Schema of the arguments of a request class's tool, as published to clients. */
final class ToolSchema {
  private static final int MAX_TOOLS = 64;
  private static final int MAX_TOOL_NAME_LENGTH = 128;
  private static final int MAX_CONVERSATION_LENGTH = 256;

  private ToolSchema() {}

  static ObjectNode of(GatewaySettings.ClassSettings requestClass) {
    ObjectNode schema = JsonNodeFactory.instance.objectNode().put("type", "object");
    ObjectNode properties = schema.putObject("properties");
    addMessages(properties);
    addPrompt(properties);
    addMaxTokens(properties, requestClass.maxTokens());
    addConversation(properties);
    addTools(properties);
    ArrayNode alternatives = schema.putArray("oneOf");
    alternatives.addObject().putArray("required").add("messages");
    alternatives.addObject().putArray("required").add("prompt");
    return schema.put("additionalProperties", false);
  }

  private static void addMessages(ObjectNode properties) {
    ObjectNode message =
        properties
            .putObject("messages")
            .put("type", "array")
            .put("minItems", 1)
            .put("description", "Chat messages, the last of them to be answered")
            .putObject("items")
            .put("type", "object");
    message.putArray("required").add("role").add("content");
    ObjectNode fields = message.putObject("properties");
    fields.putObject("role").putArray("enum").add("system").add("user").add("assistant");
    fields.putObject("content").put("type", "string");
  }

  private static void addPrompt(ObjectNode properties) {
    properties
        .putObject("prompt")
        .put("type", "string")
        .put("minLength", 1)
        .put("description", "A single message in place of messages");
  }

  private static void addMaxTokens(ObjectNode properties, int maxTokens) {
    properties
        .putObject("max_tokens")
        .put("type", "integer")
        .put("minimum", 1)
        .put("maximum", maxTokens);
  }

  private static void addConversation(ObjectNode properties) {
    properties
        .putObject("conversation")
        .put("type", "string")
        .put("minLength", 1)
        .put("maxLength", MAX_CONVERSATION_LENGTH)
        .put("description", "Names the conversation; its later turns are read faster");
  }

  private static void addTools(ObjectNode properties) {
    ObjectNode tool =
        properties
            .putObject("tools")
            .put("type", "array")
            .put("maxItems", MAX_TOOLS)
            .put(
                "description",
                "MCP tools that the client runs when they are called in the middle"
                    + " of the answer")
            .putObject("items")
            .put("type", "object");
    tool.putArray("required").add("name");
    ObjectNode fields = tool.putObject("properties");
    fields
        .putObject("name")
        .put("type", "string")
        .put("minLength", 1)
        .put("maxLength", MAX_TOOL_NAME_LENGTH);
    fields.putObject("description").put("type", "string");
    fields.putObject("inputSchema").put("type", "object");
  }
}
