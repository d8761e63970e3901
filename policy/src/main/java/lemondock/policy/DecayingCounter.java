package lemondock.policy;

/** Counts events with exponential decay and so tells their recent rate. */
final class DecayingCounter {
  private static final long LIFE_MICROS = 15_000_000L;
  private static final double MICROS_PER_SECOND = 1e6;

  private final DecayingValue count = new DecayingValue(LIFE_MICROS);

  /** An event has happened. */
  void add(long nowMicros) {
    count.set(1 + count.at(nowMicros), nowMicros);
  }

  double perSecond(long nowMicros) {
    return count.at(nowMicros) * MICROS_PER_SECOND / LIFE_MICROS;
  }
}
