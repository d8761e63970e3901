package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * One attempt of a client at a call.
 *
 * @param number 1 for the first attempt
 */
record CallAttempt(PlannedCall call, String gateway, int number) {
  static final int MAX_ATTEMPTS = 3;

  /**
   * A turn of a conversation.
   *
   * @param mark name of the call in its prompt
   * @param tools names of the tools that the client offers
   */
  record PlannedCall(
      Conversation conversation, String mark, List<String> tools, ToolBehaviour toolBehaviour) {}

  /** The next attempt, at a gateway. */
  CallAttempt retryAt(String nextGateway) {
    return new CallAttempt(call, nextGateway, number + 1);
  }

  boolean isRetry() {
    return number > 1;
  }

  boolean isLast() {
    return number >= MAX_ATTEMPTS;
  }

  Conversation conversation() {
    return call.conversation();
  }

  /** The mark of this attempt; attempts of one call share the beginning. */
  String mark() {
    return number == 1 ? call.mark() : call.mark() + "-try" + number;
  }

  /** The conversation's messages, the last one with the mark of this attempt. */
  ArrayNode messages() {
    ArrayNode messages = conversation().messages();
    ObjectNode last = (ObjectNode) messages.get(messages.size() - 1);
    String text = last.get("content").asText();
    last.put("content", text.replace("#" + call.mark() + "#", "#" + mark() + "#"));
    return messages;
  }
}
