package lemondock.gateway.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Optional;

/**
 * A client's call, read and counted.
 *
 * @param classId place of its class in the settings
 * @param messages chat messages
 * @param tools definitions as the engine takes them, if the client offers any
 * @param maxTokens tokens of the answer at most
 * @param conversation the client's name for the conversation, if it gave one
 * @param size tokens of the messages and tools
 */
public record Prompt(
    int classId,
    ArrayNode messages,
    Optional<JsonNode> tools,
    int maxTokens,
    Optional<String> conversation,
    Size size) {

  /**
   * Tokens of a prompt. Its prefix is what other conversations begin with too: the tools and the
   * system messages at the start.
   *
   * @param tokens tokens of the whole prompt
   * @param prefixKey hash of the prefix, 0 if there is none
   * @param prefixTokens tokens of the prefix
   */
  public record Size(int tokens, long prefixKey, int prefixTokens) {}
}
