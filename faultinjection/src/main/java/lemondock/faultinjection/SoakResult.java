package lemondock.faultinjection;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The result of a run.
 *
 * @param outcomes number of calls by outcome
 * @param lateOutcomes the same for calls that came over 0.7 s after SIGTERM
 * @param stalledMicros time for which the machine was stalled, in microseconds
 * @param rigFailures failures of the test rig itself: faults that could not be injected, threads
 *     that did not end
 */
record SoakResult(
    long seed,
    FaultPlan plan,
    Map<CallOutcome, Integer> outcomes,
    Map<CallOutcome, Integer> lateOutcomes,
    List<Breach> breaches,
    long stalledMicros,
    List<String> rigFailures) {

  boolean hasNoBreaches() {
    return breaches.isEmpty();
  }

  @Override
  public String toString() {
    return "seed "
        + seed
        + ": "
        + (hasNoBreaches() ? "kept" : "BROKEN " + breaches.size())
        + " "
        + outcomes
        + (lateOutcomes.isEmpty() ? "" : " late " + lateOutcomes)
        + (plan.crowd() ? " crowd" : "")
        + " "
        + plan.termination()
        + " machine stalled "
        + TimeUnit.MICROSECONDS.toMillis(stalledMicros)
        + " ms "
        + plan.steps()
        + " "
        + plan.shape()
        + (rigFailures.isEmpty() ? "" : " rig: " + rigFailures);
  }
}
