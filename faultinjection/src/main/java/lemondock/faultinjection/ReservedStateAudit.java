package lemondock.faultinjection;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import lemondock.faultinjection.ReservedStateTable.IdlePeriod;

/** Each state that a reader reserves must be taken by a write or released within the limit. */
final class ReservedStateAudit implements RunAudit {
  /** Tolerance that the platform grants beyond the limit of the gateways' settings. */
  private static final long SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(300);

  private final RunHistory history;
  private final long limitMicros;

  ReservedStateAudit(RunHistory history) {
    this.history = history;
    this.limitMicros =
        TimeUnit.MILLISECONDS.toMicros(history.shape().releaseWithinMs()) + SLACK_MICROS;
  }

  @Override
  public void audit(Consumer<Breach> breaches) {
    for (IdlePeriod period : history.runRecord().reservedStates().idlePeriods()) {
      if (isTooLong(period)) {
        history
            .runRecord()
            .call(period.requestId())
            .filter(call -> !isExcused(call, period))
            .ifPresent(call -> breaches.accept(createBreach(call, period)));
      }
    }
  }

  private boolean isTooLong(IdlePeriod period) {
    long stalledMicros = history.stalledMicros(period.fromMicros(), period.untilMicros());
    return period.durationMicros() > limitMicros + stalledMicros;
  }

  /**
   * Whether the call's gateway was killed without notice before the limit expired, so that it could
   * not release the state.
   */
  private boolean isExcused(ClientCall call, IdlePeriod period) {
    Optional<GatewayIncarnation> incarnation =
        history.runRecord().incarnationAt(call.gatewayName(), call.sentMicros());
    return incarnation
        .filter(GatewayIncarnation::wasKilledWithoutNotice)
        .filter(killed -> killed.killedMicros() < period.fromMicros() + limitMicros)
        .isPresent();
  }

  private Breach createBreach(ClientCall call, IdlePeriod period) {
    return new Breach(
        Rule.HELD,
        "at "
            + period.serverId()
            + " for "
            + TimeUnit.MICROSECONDS.toMillis(period.durationMicros())
            + " ms from "
            + history.formatTime(period.fromMicros())
            + " ("
            + period.end()
            + "): "
            + history.describe(call)
            + describeAttempts(call));
  }

  private String describeAttempts(ClientCall call) {
    StringBuilder text = new StringBuilder();
    for (Arrival arrival : history.arrivals(call)) {
      text.append("; ")
          .append(arrival.role() == ServerRole.READER ? "read " : "write ")
          .append(arrival.serverId())
          .append(' ')
          .append(history.formatTime(arrival.arrivedMicros()))
          .append(' ')
          .append(arrival.fate());
    }
    for (RunRecord.Release release : history.runRecord().releases()) {
      if (release.requestId().equals(call.id())) {
        text.append("; release ")
            .append(release.serverId())
            .append(' ')
            .append(history.formatTime(release.arrivedMicros()));
      }
    }
    return text.toString();
  }
}
