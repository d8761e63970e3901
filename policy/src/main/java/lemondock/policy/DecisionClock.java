package lemondock.policy;

/**
 * The time of the current event, in microseconds. It is set once per event, so that all decisions
 * about one event use the same time; the times of the events never decrease. Single-threaded, like
 * the whole package.
 */
final class DecisionClock {
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  void advanceTo(long eventMicros) {
    nowMicros = eventMicros;
  }
}
