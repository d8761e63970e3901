package lemondock.gateway.answer;

import java.util.List;

/**
 * One earlier turn of an answer.
 *
 * @param text what the model wrote before its tool calls
 * @param calls the tool calls
 * @param results their results, in the order of the calls
 */
public record AnswerTurn(String text, List<ToolCall> calls, List<ToolResult> results) {}
