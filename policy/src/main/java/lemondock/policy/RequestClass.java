package lemondock.policy;

/** One class of requests; aim and deadline count from the request's arrival to its first token. */
public record RequestClass(
    long aim,
    long aimPerThousandTokens,
    long deadline,
    double worth,
    double lateWorth,
    Idempotency repeat,
    DeduplicationScope group,
    long repeatWindow,
    long tokenAim) {}
