package lemondock.policy;

import java.util.Objects;

/**
 * The end of one attempt.
 *
 * @param requestId id of the request that the attempt belongs to
 * @param attempt index of the attempt within its request, from 0
 * @param serverId id of the server that the attempt was sent to
 * @param outcome how the attempt ended
 * @param elapsedMicros time from the send to the end of the attempt
 * @param requestEnded whether the client has received its whole answer, or needs none any more
 * @param cachedTokens prompt tokens that the server had cached; set for {@link
 *     AttemptOutcome#PROMPT_READ} and {@link AttemptOutcome#OK} only
 * @param stateMissing whether the server rejected a write because it found no state to write from
 */
public record AttemptResult(
    long requestId,
    int attempt,
    long serverId,
    AttemptOutcome outcome,
    long elapsedMicros,
    boolean requestEnded,
    int cachedTokens,
    boolean stateMissing) {

  /** Returns a builder whose components are 0 or false until set; the outcome must be set. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of an {@link AttemptResult}; not thread-safe. */
  public static final class Builder {
    private long requestId;
    private int attempt;
    private long serverId;
    private AttemptOutcome outcome;
    private long elapsedMicros;
    private boolean requestEnded;
    private int cachedTokens;
    private boolean stateMissing;

    private Builder() {}

    /** Sets the id of the request that the attempt belongs to. */
    public Builder requestId(long value) {
      requestId = value;
      return this;
    }

    /** Sets the index of the attempt within its request, from 0. */
    public Builder attempt(int value) {
      attempt = value;
      return this;
    }

    /** Sets the id of the server that the attempt was sent to. */
    public Builder serverId(long value) {
      serverId = value;
      return this;
    }

    /** Sets how the attempt ended. */
    public Builder outcome(AttemptOutcome value) {
      outcome = value;
      return this;
    }

    /** Sets the time from the send to the end of the attempt. */
    public Builder elapsedMicros(long value) {
      elapsedMicros = value;
      return this;
    }

    /** Sets whether the client has received its whole answer, or needs none any more. */
    public Builder requestEnded(boolean value) {
      requestEnded = value;
      return this;
    }

    /**
     * Sets the prompt tokens that the server had cached; for {@link AttemptOutcome#PROMPT_READ} and
     * {@link AttemptOutcome#OK} only.
     */
    public Builder cachedTokens(int value) {
      cachedTokens = value;
      return this;
    }

    /** Sets whether the server rejected a write because it found no state to write from. */
    public Builder stateMissing(boolean value) {
      stateMissing = value;
      return this;
    }

    /**
     * Builds the {@link AttemptResult}.
     *
     * @throws NullPointerException if outcome is not set
     */
    public AttemptResult build() {
      return new AttemptResult(
          requestId,
          attempt,
          serverId,
          Objects.requireNonNull(outcome, "outcome"),
          elapsedMicros,
          requestEnded,
          cachedTokens,
          stateMissing);
    }
  }
}
