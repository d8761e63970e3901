package lemondock.policy;

/**
 * The figures of the five rules. Times in microseconds.
 *
 * @param answerSlackMicros how long after its deadline a final answer may still come
 * @param drainGraceMicros how long after a server began to drain something new may still reach it
 * @param slowStartInitialShare the part of its capacity with which a server starts at least
 * @param slowStartMicros time until a server that has started bears all of its capacity
 * @param overloadFactor how many times its capacity at that time a server in slow start bears
 * @param overloadWindowMicros the time over which that is counted
 * @param releaseWithinMicros how long a reader may hold a state that nobody takes; 0 for no limit
 */
public record ServiceRules(
    long answerSlackMicros,
    long drainGraceMicros,
    double slowStartInitialShare,
    long slowStartMicros,
    double overloadFactor,
    long overloadWindowMicros,
    long releaseWithinMicros) {}
