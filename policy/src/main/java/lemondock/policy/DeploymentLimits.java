package lemondock.policy;

/** What the deployment allows. */
public record DeploymentLimits(
    int maxAttempts,
    boolean mayCancel,
    boolean mayHedge,
    boolean mayProbe,
    boolean mayGossip,
    boolean sendsRetryAfter,
    long maxRetryAfterMicros,
    long connectTimeoutMicros,
    boolean pollsEndpointList) {}
