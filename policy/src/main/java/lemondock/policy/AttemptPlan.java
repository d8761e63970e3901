package lemondock.policy;

/**
 * A planned attempt, before it is sent.
 *
 * @param server the server that will receive it
 * @param work what the server is asked to do
 * @param readTokens prompt tokens that the server is expected to read, plus the overhead of a read
 *     in tokens; 0 for a write
 * @param expectedMicros expected time to the answer; for a read, including the wait in the server's
 *     queue
 */
record AttemptPlan(ServerState server, AttemptWork work, long readTokens, long expectedMicros) {}
