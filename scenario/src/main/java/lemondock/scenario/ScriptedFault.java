package lemondock.scenario;

/**
 * One fault of a script.
 *
 * @param atMs time at which it begins, from the start of the scenario
 * @param forMs how long it lasts
 * @param part share of the engines that it hits
 * @param size severity, depending on the kind: a share of requests or of time, or a slowdown factor
 */
public record ScriptedFault(FaultKind kind, double atMs, double forMs, double part, double size) {
  /** Time at which it ends, from the start of the scenario. */
  double endMs() {
    return atMs + forMs;
  }
}
