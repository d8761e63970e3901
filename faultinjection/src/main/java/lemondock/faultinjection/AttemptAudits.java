package lemondock.faultinjection;

import java.util.List;
import java.util.function.Consumer;

/**
 * Runs attempt audits on each attempt of a call that arrived over a healthy link. Other attempts
 * are left out, because they may have been sent long before they arrived.
 */
final class AttemptAudits implements CallAudit {
  private final RunHistory history;
  private final List<AttemptAudit> audits;

  AttemptAudits(RunHistory history, List<AttemptAudit> audits) {
    this.history = history;
    this.audits = audits;
  }

  @Override
  public void audit(ClientCall call, Consumer<Breach> breaches) {
    for (Arrival arrival : history.arrivals(call)) {
      if (history.arrivedUndelayed(call, arrival)) {
        audits.forEach(audit -> audit.audit(call, arrival, breaches));
      }
    }
  }
}
