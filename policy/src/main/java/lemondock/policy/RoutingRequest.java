package lemondock.policy;

/** One request; hint is the expected time of writing at the class's token aim, 0 if not told. */
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
