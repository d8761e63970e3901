package lemondock.policy;

/**
 * Parameters of the five service rules that the package comment lists. Times are in microseconds.
 *
 * @param answerSlackMicros how long after the deadline a final answer may still be sent
 * @param drainGraceMicros how long after a server began to drain new work may still reach it
 * @param slowStartInitialShare minimum share of its capacity that a server has at its start
 * @param slowStartMicros time from its start until a server has its full capacity
 * @param overloadFactor load that a server in slow start tolerates, as a multiple of its current
 *     capacity
 * @param overloadWindowMicros window over which the load of a server in slow start is counted
 * @param releaseWithinMicros how long a reader may hold a state that no writer takes; 0 for no
 *     limit
 */
public record ServiceRules(
    long answerSlackMicros,
    long drainGraceMicros,
    double slowStartInitialShare,
    long slowStartMicros,
    double overloadFactor,
    long overloadWindowMicros,
    long releaseWithinMicros) {

  /** Returns a builder whose components are 0 until set. */
  public static Builder builder() {
    return new Builder();
  }

  /** Builder of a {@link ServiceRules}; not thread-safe. */
  public static final class Builder {
    private long answerSlackMicros;
    private long drainGraceMicros;
    private double slowStartInitialShare;
    private long slowStartMicros;
    private double overloadFactor;
    private long overloadWindowMicros;
    private long releaseWithinMicros;

    private Builder() {}

    /** Sets how long after the deadline a final answer may still be sent. */
    public Builder answerSlackMicros(long value) {
      answerSlackMicros = value;
      return this;
    }

    /** Sets how long after a server began to drain new work may still reach it. */
    public Builder drainGraceMicros(long value) {
      drainGraceMicros = value;
      return this;
    }

    /** Sets the minimum share of its capacity that a server has at its start. */
    public Builder slowStartInitialShare(double value) {
      slowStartInitialShare = value;
      return this;
    }

    /** Sets the time from its start until a server has its full capacity. */
    public Builder slowStartMicros(long value) {
      slowStartMicros = value;
      return this;
    }

    /** Sets the load that a server in slow start tolerates, as a multiple of its capacity. */
    public Builder overloadFactor(double value) {
      overloadFactor = value;
      return this;
    }

    /** Sets the window over which the load of a server in slow start is counted. */
    public Builder overloadWindowMicros(long value) {
      overloadWindowMicros = value;
      return this;
    }

    /** Sets how long a reader may hold a state that no writer takes; 0 for no limit. */
    public Builder releaseWithinMicros(long value) {
      releaseWithinMicros = value;
      return this;
    }

    /** Builds the {@link ServiceRules}. */
    public ServiceRules build() {
      return new ServiceRules(
          answerSlackMicros,
          drainGraceMicros,
          slowStartInitialShare,
          slowStartMicros,
          overloadFactor,
          overloadWindowMicros,
          releaseWithinMicros);
    }
  }
}
