package lemondock.policy;

/**
 * What the deployment allows the router to do. Times are in microseconds.
 *
 * @param maxAttempts maximum number of attempts per request, at least 1
 * @param mayCancel whether attempts may be cancelled
 * @param mayHedge whether hedged requests are allowed
 * @param mayProbe whether health checks are allowed
 * @param mayGossip whether gateways may exchange their observations
 * @param sendsRetryAfter whether a rejection may carry a Retry-After
 * @param maxRetryAfterMicros longest Retry-After that may be sent
 * @param connectTimeoutMicros how long connecting to a server may take; 0 if unknown
 * @param pollsEndpointList whether the router has to ask for the endpoint list
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

  /** Returns a builder whose components are 0 or false until set. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link DeploymentLimits}; not thread-safe. */
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

    /** Sets the maximum number of attempts per request, at least 1. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets whether attempts may be cancelled. */
    public Builder mayCancel(boolean value) {
      mayCancel = value;
      return this;
    }

    /** Sets whether hedged requests are allowed. */
    public Builder mayHedge(boolean value) {
      mayHedge = value;
      return this;
    }

    /** Sets whether health checks are allowed. */
    public Builder mayProbe(boolean value) {
      mayProbe = value;
      return this;
    }

    /** Sets whether gateways may exchange their observations. */
    public Builder mayGossip(boolean value) {
      mayGossip = value;
      return this;
    }

    /** Sets whether a rejection may carry a Retry-After. */
    public Builder sendsRetryAfter(boolean value) {
      sendsRetryAfter = value;
      return this;
    }

    /** Sets the longest Retry-After that may be sent. */
    public Builder maxRetryAfterMicros(long value) {
      maxRetryAfterMicros = value;
      return this;
    }

    /** Sets how long connecting to a server may take; 0 if unknown. */
    public Builder connectTimeoutMicros(long value) {
      connectTimeoutMicros = value;
      return this;
    }

    /** Sets whether the router has to ask for the endpoint list. */
    public Builder pollsEndpointList(boolean value) {
      pollsEndpointList = value;
      return this;
    }

    /** Builds the {@link DeploymentLimits}. */
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
