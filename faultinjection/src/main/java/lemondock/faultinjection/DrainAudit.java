package lemondock.faultinjection;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.faultinjection.RunRecord.Announcement;

/**
 * A gateway that was notified that a server is draining must send it no new attempts after the
 * grace period.
 */
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
    long untilMicros = nextReadyMicros(draining);
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
            .ifPresent(call -> breaches.accept(createBreach(draining, arrival, call)));
      }
    }
  }

  /**
   * When the same gateway was next notified that the server is ready; {@link Long#MAX_VALUE} if
   * never.
   */
  private long nextReadyMicros(Announcement draining) {
    return history.runRecord().announcements().stream()
        .filter(later -> later.gatewayName().equals(draining.gatewayName()))
        .filter(later -> later.serverId().equals(draining.serverId()))
        .filter(later -> later.state() == ListedState.READY)
        .mapToLong(Announcement::writtenMicros)
        .filter(writtenMicros -> writtenMicros > draining.writtenMicros())
        .min()
        .orElse(Long.MAX_VALUE);
  }

  private Breach createBreach(Announcement draining, Arrival arrival, ClientCall call) {
    return new Breach(
        Rule.DRAIN,
        arrival.serverId()
            + " got an attempt at "
            + history.formatTime(arrival.firstByteMicros())
            + ", told "
            + draining.state().wireName()
            + " at "
            + history.formatTime(draining.writtenMicros())
            + ": "
            + history.describe(call));
  }
}
