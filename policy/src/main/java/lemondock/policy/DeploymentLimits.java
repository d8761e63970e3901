package lemondock.policy;

/** What the deployment allows. */
public record DeploymentLimits(
    int maxAttempts,
    boolean cancel,
    boolean secondCopies,
    boolean probes,
    boolean peers,
    boolean retryAdvice,
    long maxRetryAdvice,
    long connectTimeout,
    boolean askForList) {}
