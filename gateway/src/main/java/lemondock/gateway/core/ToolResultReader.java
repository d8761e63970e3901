package lemondock.gateway.core;

import com.fasterxml.jackson.databind.JsonNode;
import lemondock.gateway.answer.ToolResult;

/** Converts a client's response to a relayed {@code tools/call} into a tool result. */
public final class ToolResultReader {
  private ToolResultReader() {}

  /**
   * Reads a JSON-RPC response.
   *
   * @param result the result; not read if {@code error} is present
   * @param error the JSON-RPC error, null for a result
   */
  public static ToolResult read(JsonNode result, JsonNode error) {
    if (error != null) {
      return new ToolResult(
          "error " + error.path("code").asText() + ": " + error.path("message").asText(""), true);
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : result.path("content")) {
      text.append(text.isEmpty() ? "" : "\n");
      if (part.path("type").asText("").equals("text")) {
        text.append(part.path("text").asText(""));
      } else {
        text.append(part);
      }
    }
    if (text.isEmpty() && result.has("structuredContent")) {
      text.append(result.get("structuredContent"));
    }
    return new ToolResult(text.toString(), result.path("isError").asBoolean(false));
  }
}
