package lemondock.policy;

import java.util.Objects;

/**
 * A class of requests with the same objectives. Times are in microseconds; the latency objective
 * and the deadline count from a request's arrival to its first token.
 *
 * @param latencyObjectiveMicros latency objective for the first token of an empty prompt
 * @param objectiveMicrosPerThousandTokens added to the latency objective for each thousand tokens
 *     of the prompt
 * @param deadlineMicros time by which the first token, or another final answer, must be sent
 * @param priorityWeight value of an answer within the objective; classes of lower weight are
 *     rejected first
 * @param latePriorityWeight value of an answer after the objective
 * @param idempotency whether its requests may be repeated
 * @param deduplicationScope which servers drop the repeats of a request with an idempotency key
 * @param deduplicationWindowMicros how long servers remember an idempotency key
 * @param tokenIntervalObjectiveMicros objective for the time between two tokens; 0 if unknown
 */
public record RequestClass(
    long latencyObjectiveMicros,
    long objectiveMicrosPerThousandTokens,
    long deadlineMicros,
    double priorityWeight,
    double latePriorityWeight,
    Idempotency idempotency,
    DeduplicationScope deduplicationScope,
    long deduplicationWindowMicros,
    long tokenIntervalObjectiveMicros) {

  /**
   * Returns a builder whose components are 0 until set; the scope is {@link
   * DeduplicationScope#ALL}, and the idempotency must be set.
   */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link RequestClass}; not thread-safe. */
  public static final class Builder {
    private long latencyObjectiveMicros;
    private long objectiveMicrosPerThousandTokens;
    private long deadlineMicros;
    private double priorityWeight;
    private double latePriorityWeight;
    private Idempotency idempotency;
    private DeduplicationScope deduplicationScope = DeduplicationScope.ALL;
    private long deduplicationWindowMicros;
    private long tokenIntervalObjectiveMicros;

    private Builder() {}

    /** Sets the latency objective for the first token of an empty prompt. */
    public Builder latencyObjectiveMicros(long value) {
      latencyObjectiveMicros = value;
      return this;
    }

    /** Sets what is added to the latency objective for each thousand tokens of the prompt. */
    public Builder objectiveMicrosPerThousandTokens(long value) {
      objectiveMicrosPerThousandTokens = value;
      return this;
    }

    /** Sets the time by which the first token, or another final answer, must be sent. */
    public Builder deadlineMicros(long value) {
      deadlineMicros = value;
      return this;
    }

    /**
     * Sets the value of an answer within the objective; classes of lower weight are rejected first.
     */
    public Builder priorityWeight(double value) {
      priorityWeight = value;
      return this;
    }

    /** Sets the value of an answer after the objective. */
    public Builder latePriorityWeight(double value) {
      latePriorityWeight = value;
      return this;
    }

    /** Sets whether its requests may be repeated. */
    public Builder idempotency(Idempotency value) {
      idempotency = value;
      return this;
    }

    /** Sets which servers drop the repeats of a request with an idempotency key. */
    public Builder deduplicationScope(DeduplicationScope value) {
      deduplicationScope = value;
      return this;
    }

    /** Sets how long servers remember an idempotency key. */
    public Builder deduplicationWindowMicros(long value) {
      deduplicationWindowMicros = value;
      return this;
    }

    /** Sets the objective for the time between two tokens of an answer; 0 if unknown. */
    public Builder tokenIntervalObjectiveMicros(long value) {
      tokenIntervalObjectiveMicros = value;
      return this;
    }

    /**
     * Builds the {@link RequestClass}.
     *
     * @throws NullPointerException if idempotency is not set
     */
    public RequestClass build() {
      return new RequestClass(
          latencyObjectiveMicros,
          objectiveMicrosPerThousandTokens,
          deadlineMicros,
          priorityWeight,
          latePriorityWeight,
          Objects.requireNonNull(idempotency, "idempotency"),
          deduplicationScope,
          deduplicationWindowMicros,
          tokenIntervalObjectiveMicros);
    }
  }
}
