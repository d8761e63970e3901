package lemondock.policy;

/** Counts events with exponential decay and so tells their recent rate. */
final class DecayingCounter {
  private static final long DECAY_MICROS = 15_000_000L;
  private static final double MICROS_PER_SECOND = 1e6;

  private double count;
  private long updatedAtMicros;

  void add(long nowMicros) {
    count = 1 + decayedCount(nowMicros);
    updatedAtMicros = nowMicros;
  }

  double perSecond(long nowMicros) {
    return decayedCount(nowMicros) * MICROS_PER_SECOND / DECAY_MICROS;
  }

  private double decayedCount(long nowMicros) {
    return ExponentialDecay.decay(count, nowMicros - updatedAtMicros, DECAY_MICROS);
  }
}
