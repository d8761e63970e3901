package lemondock.faultinjection;

import java.util.function.Consumer;

/** Checks a rule over a whole run. */
interface RunAudit {
  /** Passes each breach of the rule to {@code breaches}. */
  void audit(Consumer<Breach> breaches);
}
