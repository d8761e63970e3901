package lemondock.faultinjection;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The remaining time that a gateway states to a server must not exceed what the call has left. */
final class StatedDeadlineAudit implements AttemptAudit {
  private static final long SLACK_MILLIS = 150;

  private final RunHistory history;

  StatedDeadlineAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Arrival arrival, Consumer<Breach> breaches) {
    long remainingMillis =
        TimeUnit.MICROSECONDS.toMillis(call.dueMicros() - arrival.firstByteMicros());
    long stalledMillis =
        TimeUnit.MICROSECONDS.toMillis(
            history.stalledMicros(call.sentMicros(), arrival.firstByteMicros()));
    if (arrival.statedDeadlineMillis() <= remainingMillis + SLACK_MILLIS + stalledMillis) {
      return;
    }
    breaches.accept(
        new Breach(
            Rule.DEADLINE_TOLD,
            arrival.serverId()
                + " was told "
                + arrival.statedDeadlineMillis()
                + " ms with "
                + remainingMillis
                + " left: "
                + history.describe(call)));
  }
}
