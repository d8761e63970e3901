package lemondock.faultinjection;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Each call must get one final answer in time. A call is excused if it had not ended when its
 * gateway was killed without notice, if it was sent while its gateway had no process, or if its
 * client disconnected.
 */
final class FinalAnswerAudit implements CallAudit {
  /** A stream that its server finishes this shortly before the kill may not be forwarded whole. */
  private static final long FORWARD_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(50);

  /**
   * Allowance for the clients' own delay on a busy machine, on top of the half second by which a
   * final answer may be late.
   */
  private static final long LATE_SLACK_MICROS = TimeUnit.MILLISECONDS.toMicros(500);

  private final RunHistory history;

  FinalAnswerAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Consumer<Breach> breaches) {
    if (isExcused(call)) {
      return;
    }
    switch (call.outcome()) {
      case OPEN -> auditOpen(call, breaches);
      case UNANSWERED -> addBreach("closed with no answer", call, breaches);
      case CUT_SHORT -> addBreach("ended as if it were whole", call, breaches);
      case NOT_TAKEN -> auditNotTaken(call, breaches);
      case BROKEN -> auditBroken(call, breaches);
      case REFUSED, FAILED -> auditLate(call, breaches);
      case SERVED, LEFT -> {}
      default -> throw new IllegalStateException("unknown outcome " + call.outcome());
    }
  }

  private boolean isExcused(ClientCall call) {
    Optional<GatewayIncarnation> incarnation = history.incarnation(call);
    return incarnation.isEmpty()
        || incarnation.get().wasKilledWithoutNotice() && history.wasEndedByKill(call);
  }

  private void auditOpen(ClientCall call, Consumer<Breach> breaches) {
    if (stalledMicros(call) == 0) {
      addBreach("no final answer", call, breaches);
    }
  }

  private void auditNotTaken(ClientCall call, Consumer<Breach> breaches) {
    if (!history.arrivals(call).isEmpty()) {
      addBreach("forwarded, then closed with no answer", call, breaches);
    }
  }

  /**
   * A stream that its server finished must reach the client, unless a fault broke connections, or
   * the server finished so shortly before the gateway's kill that the end could not be forwarded.
   * {@link CutStreamAudit} judges a stream whose server wrote on after its end.
   */
  private void auditBroken(ClientCall call, Consumer<Breach> breaches) {
    for (Arrival arrival : history.arrivals(call)) {
      long slackMicros = history.wasEndedByKill(call) ? FORWARD_SLACK_MICROS : 0;
      if (arrival.isStreamComplete()
          && arrival.streamedMicros() <= call.endedMicros() - slackMicros
          && history.keptConnectionsUntil(call, arrival, call.endedMicros())) {
        String finishedAt = history.formatTime(arrival.streamedMicros());
        addBreach(
            "a stream that " + arrival.serverId() + " finished at " + finishedAt + " was cut",
            call,
            breaches);
      }
    }
  }

  private void auditLate(ClientCall call, Consumer<Breach> breaches) {
    long lateMicros = call.endedMicros() - call.dueMicros() - stalledMicros(call);
    if (lateMicros > LATE_SLACK_MICROS) {
      addBreach(
          "answered " + TimeUnit.MICROSECONDS.toMillis(lateMicros) + " ms late", call, breaches);
    }
  }

  private long stalledMicros(ClientCall call) {
    return history.stalledMicros(call.sentMicros(), call.endedMicros());
  }

  private void addBreach(String description, ClientCall call, Consumer<Breach> breaches) {
    breaches.accept(new Breach(Rule.LOST, description + ": " + history.describe(call)));
  }
}
