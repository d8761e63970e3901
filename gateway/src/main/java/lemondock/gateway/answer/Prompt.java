package lemondock.gateway.answer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.Optional;

/**
 * The validated arguments of a client's call, with its token counts.
 *
 * @param classId index of the request class in the settings
 * @param messages chat messages
 * @param tools tool definitions in the engines' format; empty if the client offers none
 * @param maxTokens upper bound of the answer's tokens
 * @param conversation the client's name for the conversation; empty if it gave none
 * @param size token counts of the messages and tools
 */
public record Prompt(
    int classId,
    ArrayNode messages,
    Optional<JsonNode> tools,
    int maxTokens,
    Optional<String> conversation,
    Size size) {

  /**
   * Token counts of a prompt. The prefix is the part that other conversations may share: the tools
   * and the leading system messages.
   *
   * @param tokens tokens of the whole prompt
   * @param prefixKey hash of the prefix, 0 if there is none
   * @param prefixTokens tokens of the prefix
   */
  public record Size(int tokens, long prefixKey, int prefixTokens) {}
}
