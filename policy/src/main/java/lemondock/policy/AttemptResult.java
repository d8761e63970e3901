package lemondock.policy;

/**
 * The end of one attempt.
 *
 * @param attempt number of the attempt within its request, from 0
 * @param elapsedMicros time since the attempt was sent
 * @param requestEnded whether the client has its whole answer, or nothing more is owed to it
 * @param cachedTokens prompt tokens that the server had cached; told with {@link
 *     AttemptOutcome#PROMPT_READ} and {@link AttemptOutcome#OK}
 * @param stateMissing whether the server rejected a write because it found no state to write from
 */
public record AttemptResult(
    long requestId,
    int attempt,
    long serverId,
    AttemptOutcome outcome,
    long elapsedMicros,
    boolean requestEnded,
    int cachedTokens,
    boolean stateMissing) {}
