package lemondock.faultinjection;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.faultinjection.RunRecord.Announcement;

/** A server gets no new attempts from a gateway that was told that it drains. */
final class DrainAudit implements RunAudit {
  private static final long SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

  private final RunHistory history;

  DrainAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(Consumer<Breach> breaches) {
    for (Announcement announcement : history.runRecord().announcements()) {
      if (announcement.state() != ListedState.READY) {
        auditDraining(announcement, breaches);
      }
    }
  }

  private void auditDraining(Announcement draining, Consumer<Breach> breaches) {
    long graceMicros = TimeUnit.MILLISECONDS.toMicros(history.shape().drainGraceMs());
    long fromMicros = draining.writtenMicros() + graceMicros + SLACK_MICROS;
    long untilMicros = readyAgainMicros(draining);
    for (Arrival arrival : history.runRecord().arrivals()) {
      boolean arrivedWhileDraining =
          arrival.serverId().equals(draining.serverId())
              && arrival.firstByteMicros() > fromMicros
              && arrival.firstByteMicros() < untilMicros;
      if (arrivedWhileDraining) {
        history
            .runRecord()
            .call(arrival.requestId())
            .filter(call -> call.gatewayName().equals(draining.gatewayName()))
            .filter(call -> history.arrivedUndelayed(call, arrival))
            .ifPresent(call -> breaches.accept(breach(draining, arrival, call)));
      }
    }
  }

  /** When the same gateway was next told that the server is ready; never is the largest value. */
  private long readyAgainMicros(Announcement draining) {
    return history.runRecord().announcements().stream()
        .filter(next -> next.gatewayName().equals(draining.gatewayName()))
        .filter(next -> next.serverId().equals(draining.serverId()))
        .filter(next -> next.state() == ListedState.READY)
        .mapToLong(Announcement::writtenMicros)
        .filter(writtenMicros -> writtenMicros > draining.writtenMicros())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private Breach breach(Announcement draining, Arrival arrival, ClientCall call) {
    return new Breach(
        Rule.DRAIN,
        arrival.serverId()
            + " got an attempt at "
            + history.formatMoment(arrival.firstByteMicros())
            + ", told "
            + draining.state().wireName()
            + " at "
            + history.formatMoment(draining.writtenMicros())
            + ": "
            + history.describe(call));
  }
}
