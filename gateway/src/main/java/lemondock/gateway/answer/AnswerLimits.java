package lemondock.gateway.answer;

/**
 * Limits of one answer.
 *
 * @param maxTokens upper bound of the tokens over all requests
 * @param maxTurns upper bound of the turns that end in tool calls
 * @param maxToolCallsPerTurn upper bound of the tool calls in one turn
 * @param maxArgumentChars upper bound of the characters of all tool arguments in one turn
 * @param maxResumptions upper bound of the requests that replace an interrupted one
 * @param mayResume whether an interrupted request may be resumed: its class is idempotent and the
 *     settings allow streams to resume
 */
public record AnswerLimits(
    int maxTokens,
    int maxTurns,
    int maxToolCallsPerTurn,
    int maxArgumentChars,
    int maxResumptions,
    boolean mayResume) {}
