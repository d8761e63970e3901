package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * One attempt of a client to make a call.
 *
 * @param number 1 for the first attempt
 */
record CallAttempt(PlannedCall call, String gateway, int number) {
  static final int MAX_ATTEMPTS = 3;

  /**
   * The call that a client makes in one turn of a conversation.
   *
   * @param mark identifies the call in its prompt
   * @param tools names of the tools that the client offers to the model
   */
  record PlannedCall(
      Conversation conversation, String mark, List<String> tools, ToolBehaviour toolBehaviour) {}

  /** The next attempt at the same call, sent to {@code nextGateway}. */
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

  /** The mark of this attempt: the call's mark, with a suffix for retries. */
  String mark() {
    return number == 1 ? call.mark() : call.mark() + "-try" + number;
  }

  /** The conversation's messages; the last one carries the mark of this attempt. */
  ArrayNode messages() {
    ArrayNode messages = conversation().messages();
    ObjectNode lastMessage = (ObjectNode) messages.get(messages.size() - 1);
    String text = lastMessage.get("content").asText();
    lastMessage.put("content", text.replace("#" + call.mark() + "#", "#" + mark() + "#"));
    return messages;
  }
}
