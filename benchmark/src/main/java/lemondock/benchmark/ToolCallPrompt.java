package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;

/** The prompt of calls with one tool call, in the format that emulated engines parse. */
final class ToolCallPrompt {
  /** The tool that is called. */
  static final String TOOL = "stock";

  private ToolCallPrompt() {}

  /**
   * Adds the prompt to messages as a message of the user.
   *
   * @param callName identifies the call in the events that engines report
   */
  static void addTo(ArrayNode messages, String callName, int answerWords) {
    String text = text(callName, answerWords);
    messages.addObject().put("role", "user").put("content", text);
  }

  static String text(String callName, int answerWords) {
    return "#" + callName + "# call the tool " + TOOL + " answer in " + answerWords + " words";
  }
}
