package lemondock.policy;

/**
 * What the deployment allows. Times in microseconds.
 *
 * @param maxAttempts attempts that one request may take
 * @param mayCancel whether attempts may be cancelled
 * @param mayHedge whether hedged requests are allowed
 * @param mayProbe whether health checks are allowed
 * @param mayGossip whether gateways may tell each other what they see
 * @param sendsRetryAfter whether a rejection may say when to come back
 * @param maxRetryAfterMicros the longest such advice
 * @param pollsEndpointList whether the endpoint list comes only when asked for
 */
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
