package lemondock.gateway.engine;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.EOFException;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Parses any event of a chat completions stream. Most events contain only text; while direct output
 * is possible, {@link TextEventParser} parses those instead. No I/O; thread-safe.
 */
final class CompletionChunkParser {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String STREAM_TERMINATOR = "[DONE]";
  private static final String NOT_JSON = "an event of the stream is not JSON";
  private static final String NOT_AN_OBJECT = "an event of the stream is no object";

  private CompletionChunkParser() {}

  /** Parses the data of one event; malformed data results in an event with an error. */
  static CompletionChunk parse(String data) {
    if (data.equals(STREAM_TERMINATOR)) {
      return CompletionChunk.END_OF_STREAM;
    }
    return data.contains("\"tool_calls\"") || data.contains("\"error\"")
        ? parseTree(data)
        : parseTokens(data);
  }

  private static CompletionChunk parseTree(String data) {
    JsonNode root;
    try {
      root = MAPPER.readTree(data);
    } catch (JsonProcessingException e) {
      return CompletionChunk.ofError(NOT_JSON);
    }
    if (root == null || !root.isObject()) {
      return CompletionChunk.ofError(NOT_AN_OBJECT);
    }
    if (root.has("error")) {
      return CompletionChunk.ofError(EngineProtocol.errorMessage(root));
    }
    JsonNode choice = root.path("choices").path(0);
    JsonNode delta = choice.path("delta");
    JsonNode usage = root.path("usage");
    return new CompletionChunk(
        delta.path("content").asText(""),
        toolCalls(delta.path("tool_calls")),
        Optional.ofNullable(choice.path("finish_reason").textValue()),
        usage.path("prompt_tokens").asInt(CompletionChunk.NOT_REPORTED),
        usage
            .path("prompt_tokens_details")
            .path("cached_tokens")
            .asInt(CompletionChunk.NOT_REPORTED),
        usage.path("completion_tokens").asInt(CompletionChunk.NOT_REPORTED),
        Optional.empty());
  }

  private static List<CompletionChunk.ToolCallDelta> toolCalls(JsonNode calls) {
    if (!calls.isArray() || calls.isEmpty()) {
      return List.of();
    }
    List<CompletionChunk.ToolCallDelta> toolCalls = new ArrayList<>();
    for (JsonNode call : calls) {
      JsonNode function = call.path("function");
      toolCalls.add(
          new CompletionChunk.ToolCallDelta(
              call.path("index").asInt(0),
              call.path("id").asText(""),
              function.path("name").asText(""),
              function.path("arguments").asText("")));
    }
    return toolCalls;
  }

  /**
   * Parses an event without tool calls and errors. It builds no tree, because such an event may
   * arrive for each token.
   */
  private static CompletionChunk parseTokens(String data) {
    try (JsonParser parser = MAPPER.getFactory().createParser(data)) {
      return parser.nextToken() == JsonToken.START_OBJECT
          ? parseFields(parser)
          : CompletionChunk.ofError(NOT_AN_OBJECT);
    } catch (IOException e) {
      return CompletionChunk.ofError(NOT_JSON);
    }
  }

  private static CompletionChunk parseFields(JsonParser parser) throws IOException {
    String text = "";
    Optional<String> finishReason = Optional.empty();
    int promptTokens = CompletionChunk.NOT_REPORTED;
    int cachedTokens = CompletionChunk.NOT_REPORTED;
    int completionTokens = CompletionChunk.NOT_REPORTED;
    int depth = 1;
    while (depth > 0) {
      JsonToken token = nextToken(parser);
      if (token != JsonToken.FIELD_NAME) {
        depth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
        continue;
      }
      String name = parser.currentName();
      JsonToken value = nextToken(parser);
      if (value.isStructStart()) {
        depth += enterOrSkipStructure(parser, name) ? 1 : 0;
      } else if (value == JsonToken.VALUE_STRING) {
        switch (name) {
          case "content" -> text = parser.getText();
          case "finish_reason" -> finishReason = Optional.of(parser.getText());
          default -> {}
        }
      } else if (value == JsonToken.VALUE_NUMBER_INT) {
        switch (name) {
          case "prompt_tokens" -> promptTokens = parser.getIntValue();
          case "cached_tokens" -> cachedTokens = parser.getIntValue();
          case "completion_tokens" -> completionTokens = parser.getIntValue();
          default -> {}
        }
      }
    }
    return new CompletionChunk(
        text,
        List.of(),
        finishReason,
        promptTokens,
        cachedTokens,
        completionTokens,
        Optional.empty());
  }

  private static JsonToken nextToken(JsonParser parser) throws IOException {
    JsonToken token = parser.nextToken();
    if (token == null) {
      throw new EOFException("the event data ends before its JSON object is closed");
    }
    return token;
  }

  /** Returns whether the fields of a structure must be parsed; otherwise skips the structure. */
  private static boolean enterOrSkipStructure(JsonParser parser, String name) throws IOException {
    switch (name) {
      case "choices", "delta", "usage", "prompt_tokens_details" -> {
        return true;
      }
      default -> {
        parser.skipChildren();
        return false;
      }
    }
  }
}
