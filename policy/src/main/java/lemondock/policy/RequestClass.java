package lemondock.policy;

import java.util.Objects;

/**
 * One class of requests. Times in microseconds; objective and deadline run from the request's
 * arrival to its first token.
 *
 * @param latencyObjectiveMicros when the first token should come, for a prompt without tokens
 * @param objectiveMicrosPerThousandTokens what each thousand tokens of the prompt add to the
 *     latency objective
 * @param deadlineMicros when the first token, or another final answer, must have come
 * @param priorityWeight what an answer in time counts; classes of lower weight are rejected first
 * @param latePriorityWeight what an answer after the objective counts
 * @param idempotency whether its requests may be repeated
 * @param deduplicationScope which servers drop the repeats of a request with an idempotency key
 * @param deduplicationWindowMicros how long servers remember an idempotency key
 * @param tokenIntervalObjectiveMicros wanted time between two tokens of an answer; 0 if not told
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

  /** Begins one; what is not set is 0, or all servers for the scope. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link RequestClass}. For one thread. */
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

    /** When the first token should come, for a prompt without tokens. */
    public Builder latencyObjectiveMicros(long value) {
      latencyObjectiveMicros = value;
      return this;
    }

    /** What each thousand tokens of the prompt add to the latency objective. */
    public Builder objectiveMicrosPerThousandTokens(long value) {
      objectiveMicrosPerThousandTokens = value;
      return this;
    }

    /** When the first token, or another final answer, must have come. */
    public Builder deadlineMicros(long value) {
      deadlineMicros = value;
      return this;
    }

    /** What an answer in time counts; classes of lower weight are rejected first. */
    public Builder priorityWeight(double value) {
      priorityWeight = value;
      return this;
    }

    /** What an answer after the objective counts. */
    public Builder latePriorityWeight(double value) {
      latePriorityWeight = value;
      return this;
    }

    /** Whether its requests may be repeated. */
    public Builder idempotency(Idempotency value) {
      idempotency = value;
      return this;
    }

    /** Which servers drop the repeats of a request with an idempotency key. */
    public Builder deduplicationScope(DeduplicationScope value) {
      deduplicationScope = value;
      return this;
    }

    /** How long servers remember an idempotency key. */
    public Builder deduplicationWindowMicros(long value) {
      deduplicationWindowMicros = value;
      return this;
    }

    /** Wanted time between two tokens of an answer; 0 if not told. */
    public Builder tokenIntervalObjectiveMicros(long value) {
      tokenIntervalObjectiveMicros = value;
      return this;
    }

    /**
     * The {@link RequestClass}.
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
