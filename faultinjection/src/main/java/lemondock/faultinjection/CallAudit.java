package lemondock.faultinjection;

import java.util.function.Consumer;

/** Audits a rule call by call. */
interface CallAudit {
  /** Adds each breach of the rule by that call. */
  void audit(ClientCall call, Consumer<Breach> breaches);
}
