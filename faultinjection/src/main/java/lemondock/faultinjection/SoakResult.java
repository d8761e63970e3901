package lemondock.faultinjection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What came of a run.
 *
 * @param outcomes number of calls by how they ended
 * @param stalledMicros time in which the machine stood still
 * @param rigFailures what went wrong with the faults and the load themselves
 */
record SoakResult(
    long seed,
    FaultPlan plan,
    Map<CallOutcome, Integer> outcomes,
    List<Breach> breaches,
    long stalledMicros,
    List<String> rigFailures) {

  boolean isKept() {
    return breaches.isEmpty();
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + (isKept() ? "kept" : "BROKEN " + breaches.size())
        + " "
        + outcomes
        + (plan.crowd() ? " crowd" : "")
        + (plan.termination() ? " terminated" : "")
        + " machine stalled "
        + TimeUnit.MICROSECONDS.toMillis(stalledMicros)
        + " ms "
        + plan.steps()
        + plan.signals().map(signals -> " " + signals).orElse("")
        + " "
        + plan.shape()
        + (rigFailures.isEmpty() ? "" : " rig: " + rigFailures);
  }
}
