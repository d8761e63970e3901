package lemondock.faultinjection;

import java.util.function.Consumer;

/** Checks a rule for one attempt at a time. */
interface AttemptAudit {
  /** Passes the breach of the rule by an attempt of the call, if any, to {@code breaches}. */
  void audit(ClientCall call, Arrival arrival, Consumer<Breach> breaches);
}
