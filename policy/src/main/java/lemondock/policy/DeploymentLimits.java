package lemondock.policy;

/**
 * What the deployment allows. Times in microseconds.
 *
 * @param maxAttempts attempts that one request may take
 * @param mayCancel whether attempts may be cancelled
 * @param mayHedge whether hedged requests are allowed
 * @param mayProbe whether health checks are allowed
 * @param mayGossip whether gateways may tell each other what they see
 * @param sendsRetryAfter whether a rejection may carry a Retry-After
 * @param maxRetryAfterMicros the longest Retry-After that may be advised
 * @param connectTimeoutMicros how long a connection to a server may take to come up; 0 if not told
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
    boolean pollsEndpointList) {

  /** Begins one; what is not set is 0 or false. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link DeploymentLimits}. For one thread. */
  public static final class Builder {
    private int maxAttempts;
    private boolean mayCancel;
    private boolean mayHedge;
    private boolean mayProbe;
    private boolean mayGossip;
    private boolean sendsRetryAfter;
    private long maxRetryAfterMicros;
    private long connectTimeoutMicros;
    private boolean pollsEndpointList;

    private Builder() {}

    /** Attempts that one request may take. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Whether attempts may be cancelled. */
    public Builder mayCancel(boolean value) {
      mayCancel = value;
      return this;
    }

    /** Whether hedged requests are allowed. */
    public Builder mayHedge(boolean value) {
      mayHedge = value;
      return this;
    }

    /** Whether health checks are allowed. */
    public Builder mayProbe(boolean value) {
      mayProbe = value;
      return this;
    }

    /** Whether gateways may tell each other what they see. */
    public Builder mayGossip(boolean value) {
      mayGossip = value;
      return this;
    }

    /** Whether a rejection may carry a Retry-After. */
    public Builder sendsRetryAfter(boolean value) {
      sendsRetryAfter = value;
      return this;
    }

    /** The longest Retry-After that may be advised. */
    public Builder maxRetryAfterMicros(long value) {
      maxRetryAfterMicros = value;
      return this;
    }

    /** How long a connection to a server may take to come up; 0 if not told. */
    public Builder connectTimeoutMicros(long value) {
      connectTimeoutMicros = value;
      return this;
    }

    /** Whether the endpoint list comes only when asked for. */
    public Builder pollsEndpointList(boolean value) {
      pollsEndpointList = value;
      return this;
    }

    /** The {@link DeploymentLimits}. */
    public DeploymentLimits build() {
      return new DeploymentLimits(
          maxAttempts,
          mayCancel,
          mayHedge,
          mayProbe,
          mayGossip,
          sendsRetryAfter,
          maxRetryAfterMicros,
          connectTimeoutMicros,
          pollsEndpointList);
    }
  }
}
