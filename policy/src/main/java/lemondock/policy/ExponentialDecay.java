package lemondock.policy;

/** Values that fade with time alone. */
final class ExponentialDecay {
  private ExponentialDecay() {}

  /** What is left of a value after that age, where {@code lifeMicros} takes it down to 1/e. */
  static double decay(double value, long ageMicros, long lifeMicros) {
    // Most servers of a large fleet are unseen: their values are zero and need no exponential.
    return value == 0 ? 0 : value * Math.exp(-(double) ageMicros / lifeMicros);
  }
}
