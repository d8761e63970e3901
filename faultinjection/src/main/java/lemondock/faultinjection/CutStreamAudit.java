package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A gateway must not end a stream whose server goes on. It may end one that has been silent for so
 * long that its client could be left waiting for 5 s, and shortly before the earliest kill one that
 * came late and is silent. A request that came over 0.7 s after SIGTERM must not be under way at
 * SIGKILL.
 */
final class CutStreamAudit implements CallAudit {
  /**
   * Silence after which a stream may be ended at any time. A client may be left waiting for 5 s at
   * most, so that a gateway has to end a silent stream somewhat earlier.
   */
  private static final long BROKEN_STREAM_MICROS = TimeUnit.MILLISECONDS.toMicros(3_900);

  /** Silence after which a stream that came late may be ended before the kill. */
  private static final long HUNG_STREAM_MICROS = TimeUnit.MILLISECONDS.toMicros(250);

  /**
   * Time before the earliest kill from which a stream that came late may be ended: a gateway may
   * learn of SIGTERM 0.15 s late, and may be held up for as long before it acts.
   */
  private static final long LAST_MOMENTS_MICROS = TimeUnit.MILLISECONDS.toMicros(300);

  private final RunHistory history;

  CutStreamAudit(RunHistory history) {
    this.history = history;
  }

  @Override
  public void audit(ClientCall call, Consumer<Breach> breaches) {
    if (call.outcome() != CallOutcome.BROKEN) {
      return;
    }
    List<Arrival> writes =
        history.arrivals(call).stream()
            .filter(arrival -> arrival.role() == ServerRole.WRITER)
            .toList();
    boolean keptConnections =
        writes.stream()
            .allMatch(write -> history.keptConnectionsUntil(call, write, call.endedMicros()));
    if (!writes.isEmpty() && keptConnections) {
      // the client's stream is the last one: a gateway gives up a write before it begins another
      auditEnd(call, writes.get(writes.size() - 1), breaches);
    }
  }

  private void auditEnd(ClientCall call, Arrival arrival, Consumer<Breach> breaches) {
    boolean serverWentOn =
        arrival.wasEndedByGateway() || arrival.streamedMicros() > call.endedMicros();
    if (history.wasEndedByKill(call)) {
      if (serverWentOn && history.cameLate(call)) {
        addBreach("came over 0.7 s after SIGTERM and was under way at SIGKILL", call, breaches);
      }
    } else if (serverWentOn && !mayEnd(call, silentMicros(call, arrival))) {
      addBreach(
          "a stream whose server "
              + arrival.serverId()
              + " went on was cut "
              + TimeUnit.MICROSECONDS.toMillis(silentMicros(call, arrival))
              + " ms after its last event",
          call,
          breaches);
    }
  }

  private boolean mayEnd(ClientCall call, long silentMicros) {
    boolean isHungBeforeKill =
        history.cameLate(call)
            && call.endedMicros() >= earliestKillMicros(call) - LAST_MOMENTS_MICROS
            && silentMicros >= HUNG_STREAM_MICROS;
    return isHungBeforeKill || silentMicros >= BROKEN_STREAM_MICROS;
  }

  private long earliestKillMicros(ClientCall call) {
    return history.incarnation(call).orElseThrow().terminatedMicros()
        + TimeUnit.MILLISECONDS.toMicros(history.shape().killAfterMs());
  }

  /** Time from the stream's last event, or from its request, to its end at the client. */
  private static long silentMicros(ClientCall call, Arrival arrival) {
    long lastMicros = arrival.lastEventBefore(call.endedMicros()).orElse(arrival.arrivedMicros());
    return call.endedMicros() - lastMicros;
  }

  private void addBreach(String description, ClientCall call, Consumer<Breach> breaches) {
    breaches.accept(new Breach(Rule.LOST, description + ": " + history.describe(call)));
  }
}
