package lemondock.faultinjection;

import java.util.ArrayList;
import java.util.List;

/**
 * Judges a run by what truly happened: the five rules, the deadline that servers are told, attempts
 * for clients that have left, crashes. Each rule has an audit of its own.
 */
final class SoakAuditor {
  private final RunRecord runRecord;
  private final List<CallAudit> callAudits;
  private final List<RunAudit> runAudits;

  /** Makes the auditor of a run in which nothing happens any more. */
  SoakAuditor(RunRecord runRecord, FleetShape shape, LinkHealth linkHealth) {
    this.runRecord = runRecord;
    RunHistory history = new RunHistory(runRecord, shape, linkHealth);
    this.callAudits =
        List.of(
            new FinalAnswerAudit(history),
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

  /** All breaches of the run. */
  List<Breach> audit() {
    List<Breach> breaches = new ArrayList<>();
    for (ClientCall call : runRecord.calls()) {
      callAudits.forEach(audit -> audit.audit(call, breaches::add));
    }
    runAudits.forEach(audit -> audit.audit(breaches::add));
    return breaches;
  }
}
