package lemondock.gateway.answer;

import java.util.List;

/**
 * A completed turn of an answer, which ended in tool calls.
 *
 * @param text the text that the model generated before the tool calls
 * @param calls the tool calls
 * @param results the results of the tool calls, in the order of {@code calls}
 */
public record AnswerTurn(String text, List<ToolCall> calls, List<ToolResult> results) {}
