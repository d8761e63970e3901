package lemondock.policy;

import java.util.Objects;

/**
 * The end of one attempt.
 *
 * @param requestId the request that it was sent for
 * @param attempt number of the attempt within its request, from 0
 * @param serverId the server that it was sent to
 * @param outcome how it ended
 * @param elapsedMicros time since the attempt was sent
 * @param requestEnded whether the client has its whole answer, or nothing more is owed to it
 * @param cachedTokens prompt tokens that the server had cached; told with {@link
 *     AttemptOutcome#PROMPT_READ} and {@link AttemptOutcome#OK}
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

  /** Begins one; what is not set is 0 or false. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of an {@link AttemptResult}. For one thread. */
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

    /** The request that it was sent for. */
    public Builder requestId(long value) {
      requestId = value;
      return this;
    }

    /** Number of the attempt within its request, from 0. */
    public Builder attempt(int value) {
      attempt = value;
      return this;
    }

    /** The server that it was sent to. */
    public Builder serverId(long value) {
      serverId = value;
      return this;
    }

    /** How it ended. */
    public Builder outcome(AttemptOutcome value) {
      outcome = value;
      return this;
    }

    /** Time since the attempt was sent. */
    public Builder elapsedMicros(long value) {
      elapsedMicros = value;
      return this;
    }

    /** Whether the client has its whole answer, or nothing more is owed to it. */
    public Builder requestEnded(boolean value) {
      requestEnded = value;
      return this;
    }

    /**
     * Prompt tokens that the server had cached; told with {@link AttemptOutcome#PROMPT_READ} and
     * {@link AttemptOutcome#OK}.
     */
    public Builder cachedTokens(int value) {
      cachedTokens = value;
      return this;
    }

    /** Whether the server rejected a write because it found no state to write from. */
    public Builder stateMissing(boolean value) {
      stateMissing = value;
      return this;
    }

    /**
     * The {@link AttemptResult}.
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
