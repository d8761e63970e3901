package lemondock.policy;

/**
 * An attempt about to be sent.
 *
 * @param server where it goes
 * @param work what it asks of that server
 * @param uncachedTokens prompt tokens that the server has to read, with the fixed cost of a read; 0
 *     for a write
 * @param expectedMicros what the attempt should take, its wait in the server's queue included
 */
record AttemptPlan(
    ServerState server, AttemptWork work, long uncachedTokens, long expectedMicros) {}
