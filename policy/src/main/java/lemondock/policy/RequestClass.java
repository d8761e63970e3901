package lemondock.policy;

/** One class of requests; aim and deadline count from the request's arrival to its first token. */
public record RequestClass(
    long latencyObjectiveMicros,
    long objectiveMicrosPerThousandTokens,
    long deadlineMicros,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowMicros,
    long tokenIntervalObjectiveMicros) {}
