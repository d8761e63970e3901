package lemondock.anomaly;

/**
 * Cumulative counters of one scope since the start of a process.
 *
 * @param good requests or attempts that met their objective
 * @param bad requests or attempts that did not
 */
public record EventCounts(ServiceScope scope, long good, long bad) {
  /** The sum of both, for the scope of this one. */
  EventCounts plus(EventCounts other) {
    return new EventCounts(scope, good + other.good, bad + other.bad);
  }
}
