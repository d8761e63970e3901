package lemondock.policy;

/**
 * A number that decays exponentially with time, to 1/e within its time constant. Times are in
 * microseconds. Single-threaded, like the whole package.
 */
final class DecayingValue {
  private final long decayMicros;
  private double value;
  private long updatedAtMicros;

  /** Creates a value of zero that decays with this time constant. */
  DecayingValue(long decayMicros) {
    this.decayMicros = decayMicros;
  }

  /** The decayed value at this time. */
  double at(long nowMicros) {
    // In a large fleet most servers are never used: skip the exponential for their zero values.
    return value == 0 ? 0 : value * Math.exp(-(double) (nowMicros - updatedAtMicros) / decayMicros);
  }

  /** The value as it was last set, without the decay since then. */
  double lastSet() {
    return value;
  }

  /** Replaces the value, which decays from this time on. */
  void set(double newValue, long nowMicros) {
    value = newValue;
    updatedAtMicros = nowMicros;
  }

  /** Replaces the value if its decayed value is less, which keeps a maximum of recent values. */
  void raiseTo(double newValue, long nowMicros) {
    if (newValue > at(nowMicros)) {
      set(newValue, nowMicros);
    }
  }
}
