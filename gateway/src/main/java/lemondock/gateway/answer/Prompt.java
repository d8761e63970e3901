package lemondock.gateway.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;

/**
 * A client's call, read and counted.
 *
 * @param classId place of its class in the settings
 * @param messages chat messages
 * @param tools definitions as the engine takes them, null if the client offers none
 * @param toolNames names of those tools
 * @param maxTokens tokens of the answer at most
 * @param conversation the client's name for the conversation, null if it gave none
 * @param prefixKey key of the opening that the prompt shares with others, 0 if it has none
 */
public record Prompt(
    int classId,
    ArrayNode messages,
    JsonNode tools,
    java.util.Set<String> toolNames,
    int maxTokens,
    String conversation,
    int promptTokens,
    long prefixKey,
    int prefixTokens) {}
