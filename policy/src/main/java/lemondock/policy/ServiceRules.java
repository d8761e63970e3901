package lemondock.policy;

/**
 * The figures of the rules; coldShare is the part of its capacity with which a server starts at
 * least.
 */
public record ServiceRules(
    long answerSlack,
    long drainGrace,
    double coldShare,
    long warmUp,
    double overloadFactor,
    long overloadWindow,
    long releaseWithin) {}
