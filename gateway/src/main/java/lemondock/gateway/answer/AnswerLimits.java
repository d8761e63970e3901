package lemondock.gateway.answer;

/**
 * What an answer may take.
 *
 * @param maxTokens tokens over all requests
 * @param maxTurns requests that end in tool calls
 * @param maxToolCallsPerTurn tool calls of one turn
 * @param maxArgumentChars characters of all arguments of one turn
 * @param maxResumptions requests that are sent again after a break
 * @param mayResume whether a broken request may be sent again at all: its class is idempotent and
 *     streams resume
 */
public record AnswerLimits(
    int maxTokens,
    int maxTurns,
    int maxToolCallsPerTurn,
    int maxArgumentChars,
    int maxResumptions,
    boolean mayResume) {}
