package lemondock.policy;

/**
 * A number that decays exponentially with time alone, to 1/e in its life time. Times in
 * microseconds. Single-threaded, like all of the package.
 */
final class DecayingValue {
  private final long lifeMicros;
  private double value;
  private long updatedAtMicros;

  /** Begins with zero. */
  DecayingValue(long lifeMicros) {
    this.lifeMicros = lifeMicros;
  }

  /** What is left of the value at that moment. */
  double at(long nowMicros) {
    // Most servers of a large fleet are unseen: their values are zero and need no exponential.
    return value == 0 ? 0 : value * Math.exp(-(double) (nowMicros - updatedAtMicros) / lifeMicros);
  }

  /** The value as it was last set, without its decay since. */
  double lastSet() {
    return value;
  }

  /** Replaces the value; it decays from that moment on. */
  void set(double newValue, long nowMicros) {
    value = newValue;
    updatedAtMicros = nowMicros;
  }

  /** Replaces the value if what is left of it is less: a maximum of what came of late. */
  void raiseTo(double newValue, long nowMicros) {
    if (newValue > at(nowMicros)) {
      set(newValue, nowMicros);
    }
  }
}
