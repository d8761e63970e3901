package lemondock.faultinjection;

import java.util.function.Consumer;

/** Checks a rule for one call at a time. */
interface CallAudit {
  /** Passes each breach of the rule by the call to {@code breaches}. */
  void audit(ClientCall call, Consumer<Breach> breaches);
}
