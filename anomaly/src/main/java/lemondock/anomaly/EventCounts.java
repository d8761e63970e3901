package lemondock.anomaly;

/**
 * Cumulative counters of one scope since the start of a process.
 *
 * @param scope the class or role, and its zone
 * @param good requests or attempts that met their objective
 * @param bad requests or attempts that did not
 */
public record EventCounts(ServiceScope scope, long good, long bad) {
  /** Returns the sum of both counts, with the scope of this one. */
  EventCounts plus(EventCounts other) {
    return new EventCounts(scope, good + other.good, bad + other.bad);
  }
}
