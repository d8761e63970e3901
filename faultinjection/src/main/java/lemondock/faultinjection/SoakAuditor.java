package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Audits a run by its {@link RunRecord}, not by what gateways report: the five rules of the
 * service, the deadline that is stated to servers, attempts for clients that have disconnected, and
 * crashes. Each rule has its own audit.
 */
final class SoakAuditor {
  private final RunRecord runRecord;
  private final RunHistory history;
  private final List<CallAudit> callAudits;
  private final List<RunAudit> runAudits;

  /** Creates the auditor of a run that is over; later arrivals may not be audited. */
  SoakAuditor(RunRecord runRecord, FleetShape shape, LinkHealth linkHealth) {
    this.runRecord = runRecord;
    this.history = new RunHistory(runRecord, shape, linkHealth);
    this.callAudits =
        List.of(
            new FinalAnswerAudit(history),
            new CutStreamAudit(history),
            new DuplicateEffectAudit(history),
            new AttemptAudits(
                history,
                List.of(
                    new StatedDeadlineAudit(history),
                    new AbandonedCallAudit(history),
                    new EndedCallAudit(history))));
    this.runAudits =
        List.of(
            new DrainAudit(history),
            new SlowStartAudit(history),
            new ReservedStateAudit(history),
            new CrashAudit(history));
  }

  /** Counts the outcomes of calls that came over 0.7 s after SIGTERM. */
  Map<CallOutcome, Integer> lateOutcomes() {
    Map<CallOutcome, Integer> outcomes = new EnumMap<>(CallOutcome.class);
    runRecord.calls().stream()
        .filter(history::cameLate)
        .forEach(call -> outcomes.merge(call.outcome(), 1, Integer::sum));
    return outcomes;
  }

  /** Runs all audits and returns the breaches that they find. */
  List<Breach> audit() {
    List<Breach> breaches = new ArrayList<>();
    for (ClientCall call : runRecord.calls()) {
      callAudits.forEach(audit -> audit.audit(call, breaches::add));
    }
    runAudits.forEach(audit -> audit.audit(breaches::add));
    return breaches;
  }
}
