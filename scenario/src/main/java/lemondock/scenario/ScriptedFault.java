package lemondock.scenario;

/**
 * One fault of a script.
 *
 * @param atMs when it begins, from the start of the scenario
 * @param forMs how long it lasts
 * @param part share of the engines that it hits
 * @param size how severe it is, by kind: a share of requests or of time, or a factor of slowness
 */
public record ScriptedFault(FaultKind kind, double atMs, double forMs, double part, double size) {
  /** When it ends, from the start of the scenario. */
  double endMs() {
    return atMs + forMs;
  }
}
