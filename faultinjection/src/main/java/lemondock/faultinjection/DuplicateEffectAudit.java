package lemondock.faultinjection;

import java.util.List;
import java.util.function.Consumer;

/** A non-idempotent call must run at most once, and not at all if it was rejected. */
final class DuplicateEffectAudit implements CallAudit {
  private final RunHistory history;

  DuplicateEffectAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Consumer<Breach> breaches) {
    if (call.effect() == CallEffect.SAFE) {
      return;
    }
    List<Arrival> runs =
        history.arrivals(call).stream()
            .filter(arrival -> arrival.role() == ServerRole.WRITER)
            .filter(arrival -> arrival.fate() == AttemptFate.RAN)
            .toList();
    if (runs.size() > 1) {
      addBreach("ran " + runs.size() + " times", call, breaches);
    }
    if (!runs.isEmpty() && call.outcome() == CallOutcome.REFUSED) {
      addBreach("refused though it ran at " + runs.get(0).serverId(), call, breaches);
    }
  }

  private void addBreach(String description, ClientCall call, Consumer<Breach> breaches) {
    breaches.accept(new Breach(Rule.DUPLICATE, description + ": " + history.describe(call)));
  }
}
