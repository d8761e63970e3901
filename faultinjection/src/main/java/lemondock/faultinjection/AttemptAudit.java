package lemondock.faultinjection;

import java.util.function.Consumer;

/** Audits a rule attempt by attempt. */
interface AttemptAudit {
  /** Adds the breach of the rule by that attempt of the call, if there is one. */
  void audit(ClientCall call, Arrival arrival, Consumer<Breach> breaches);
}
