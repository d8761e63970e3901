package lemondock.policy;

/**
 * One request of a client.
 *
 * @param sessionId requests of one session share their earlier turns; 0 for none
 * @param prefixId requests of one prefix begin with the same text; 0 for none
 * @param prefixTokens length of that text
 * @param clientTimeoutMicros how long the client waits for the first token
 * @param expectedWriteMicros expected time of writing the answer at the class's token interval; 0
 *     if not told
 * @param clientRetry whether the client has sent the request before
 * @param resumed whether it goes on with a stream that broke
 */
public record RoutingRequest(
    long id,
    int classId,
    int tenantId,
    long sessionId,
    long prefixId,
    int promptTokens,
    int prefixTokens,
    int maxAnswerTokens,
    long clientTimeoutMicros,
    long expectedWriteMicros,
    boolean clientRetry,
    boolean resumed) {}
