package lemondock.policy;

/**
 * The end of one attempt. kept: prompt tokens found kept (READ, OK); stateMissing: FULL for want of
 * a state.
 */
public record AttemptResult(
    long requestId,
    int attempt,
    long serverId,
    AttemptOutcome ending,
    long took,
    boolean requestEnded,
    int kept,
    boolean stateMissing) {}
