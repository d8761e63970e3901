package lemondock.policy;

/**
 * The end of one attempt. cachedTokens: prompt tokens found cached (PROMPT_READ, OK); stateMissing:
 * REJECTED for want of a state.
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
