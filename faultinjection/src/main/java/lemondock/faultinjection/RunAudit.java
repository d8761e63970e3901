package lemondock.faultinjection;

import java.util.function.Consumer;

/** Audits a rule over a whole run. */
interface RunAudit {
  /** Adds each breach of the rule. */
  void audit(Consumer<Breach> breaches);
}
