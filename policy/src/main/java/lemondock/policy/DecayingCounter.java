package lemondock.policy;

/** Counts events with exponential decay, which gives their recent rate. */
final class DecayingCounter {
  /** Time constant of the decay. */
  private static final long DECAY_MICROS = 15_000_000L;

  private static final double MICROS_PER_SECOND = 1e6;

  private final DecayingValue count = new DecayingValue(DECAY_MICROS);

  /** Counts an event that happens now. */
  void increment(long nowMicros) {
    count.set(1 + count.at(nowMicros), nowMicros);
  }

  /** Recent events per second. */
  double ratePerSecond(long nowMicros) {
    return count.at(nowMicros) * MICROS_PER_SECOND / DECAY_MICROS;
  }
}
