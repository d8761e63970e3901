package lemondock.policy;

/**
 * The figures of the rules; coldShare is the part of its capacity with which a server starts at
 * least.
 */
public record ServiceRules(
    long answerSlackMicros,
    long drainGraceMicros,
    double slowStartInitialShare,
    long slowStartMicros,
    double overloadFactor,
    long overloadWindowMicros,
    long releaseWithinMicros) {}
