package lemondock.faultinjection;

import java.util.List;
import java.util.Optional;

/**
 * How a run ends.
 *
 * @param happens whether all gateways are terminated at the end of the load phase
 * @param signals the signals that replace the single SIGTERM
 * @param killDelayMillis time from the earliest moment that the platform allows to SIGKILL
 * @param pauses servers that pause meanwhile
 */
record TerminationPlan(
    boolean happens,
    Optional<SignalSeries> signals,
    long killDelayMillis,
    List<ServerPause> pauses) {
  /** A single SIGTERM, and SIGKILL at the earliest moment; or no signal. */
  static TerminationPlan plain(boolean happens) {
    return new TerminationPlan(happens, Optional.empty(), 0, List.of());
  }

  /** A series of signals, and SIGKILL at the earliest moment. */
  static TerminationPlan of(SignalSeries signals) {
    return new TerminationPlan(true, Optional.of(signals), 0, List.of());
  }

  @Override
  public String toString() {
    return (happens ? "terminated" : "not terminated")
        + signals.map(series -> " " + series).orElse("")
        + (killDelayMillis > 0 ? " kill delayed " + killDelayMillis + " ms" : "")
        + (pauses.isEmpty() ? "" : " pauses " + pauses);
  }
}
