package lemondock.policy;

/**
 * The time of the event at hand, in microseconds. It is set once per event and never goes back, so
 * that every decision about one event sees the same time. Single-threaded, like all of the package.
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
