package lemondock.policy;

/**
 * The figures of the five rules. Times in microseconds.
 *
 * @param answerSlackMicros how long after its deadline a final answer may still come
 * @param drainGraceMicros how long after a server began to drain something new may still reach it
 * @param slowStartInitialShare the part of its capacity with which a server starts at least
 * @param slowStartMicros time until a server that has started has its whole capacity
 * @param overloadFactor load that a server in slow start takes, in multiples of its capacity at
 *     that moment
 * @param overloadWindowMicros time over which the load of a server in slow start is counted
 * @param releaseWithinMicros how long a reader may hold a state that nobody takes; 0 for no limit
 */
public record ServiceRules(
    long answerSlackMicros,
    long drainGraceMicros,
    double slowStartInitialShare,
    long slowStartMicros,
    double overloadFactor,
    long overloadWindowMicros,
    long releaseWithinMicros) {

  /** Begins one; what is not set is 0. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the components of a {@link ServiceRules}. For one thread. */
  public static final class Builder {
    private long answerSlackMicros;
    private long drainGraceMicros;
    private double slowStartInitialShare;
    private long slowStartMicros;
    private double overloadFactor;
    private long overloadWindowMicros;
    private long releaseWithinMicros;

    private Builder() {}

    /** How long after its deadline a final answer may still come. */
    public Builder answerSlackMicros(long value) {
      answerSlackMicros = value;
      return this;
    }

    /** How long after a server began to drain something new may still reach it. */
    public Builder drainGraceMicros(long value) {
      drainGraceMicros = value;
      return this;
    }

    /** The part of its capacity with which a server starts at least. */
    public Builder slowStartInitialShare(double value) {
      slowStartInitialShare = value;
      return this;
    }

    /** Time until a server that has started has its whole capacity. */
    public Builder slowStartMicros(long value) {
      slowStartMicros = value;
      return this;
    }

    /** Load that a server in slow start takes, in multiples of its capacity at that moment. */
    public Builder overloadFactor(double value) {
      overloadFactor = value;
      return this;
    }

    /** Time over which the load of a server in slow start is counted. */
    public Builder overloadWindowMicros(long value) {
      overloadWindowMicros = value;
      return this;
    }

    /** How long a reader may hold a state that nobody takes; 0 for no limit. */
    public Builder releaseWithinMicros(long value) {
      releaseWithinMicros = value;
      return this;
    }

    /** The {@link ServiceRules}. */
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
