package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;

/** The prompt of calls with one tool call, as emulated engines understand it. */
final class ToolCallPrompt {
  /** The tool that is called. */
  static final String TOOL = "stock";

  private ToolCallPrompt() {}

  /**
   * Adds the prompt to messages.
   *
   * @param callName marks the call in what engines report
   */
  static void addTo(ArrayNode messages, String callName, int answerWords) {
    String text = text(callName, answerWords);
    messages.addObject().put("role", "user").put("content", text);
  }

  static String text(String callName, int answerWords) {
    return "#" + callName + "# call the tool " + TOOL + " answer in " + answerWords + " words";
  }
}
