package lemondock.faultinjection;

import java.util.function.Consumer;

/** No attempt may begin for a client that has disconnected. */
final class AbandonedCallAudit implements AttemptAudit {
  private final RunHistory history;

  AbandonedCallAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Arrival arrival, Consumer<Breach> breaches) {
    if (!call.hasDisconnected() || !history.beganAfter(call.disconnectedMicros(), call, arrival)) {
      return;
    }
    breaches.accept(
        new Breach(
            Rule.BEGUN_AFTER_LEAVING,
            "begun at "
                + arrival.serverId()
                + " "
                + history.formatTime(arrival.firstByteMicros())
                + ", its client left "
                + history.formatTime(call.disconnectedMicros())
                + ": "
                + history.describe(call)));
  }
}
