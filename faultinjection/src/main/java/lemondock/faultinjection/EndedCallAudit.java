package lemondock.faultinjection;

import java.util.function.Consumer;

/** No attempt may begin after the call's final answer. */
final class EndedCallAudit implements AttemptAudit {
  private final RunHistory history;

  EndedCallAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Arrival arrival, Consumer<Breach> breaches) {
    boolean hasFinalAnswer = !call.hasDisconnected() && call.outcome() != CallOutcome.OPEN;
    if (!hasFinalAnswer || !history.beganAfter(call.endedMicros(), call, arrival)) {
      return;
    }
    breaches.accept(
        new Breach(
            Rule.LOST,
            "begun at "
                + arrival.serverId()
                + " "
                + history.formatTime(arrival.firstByteMicros())
                + " after its final answer: "
                + history.describe(call)));
  }
}
