package lemondock.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * Rule 5: a reserved state whose request has no attempt in flight is fetched or released within the
 * limit.
 */
final class StateReleaseCheck implements RuleCheck {
  /** A state's reservation until it is fetched, released or lost, or until the run ends. */
  private record Reservation(TrafficEvent reserved, long endMicros) {}

  @Override
  public int rule() {
    return 5;
  }

  @Override
  public void check(AuditedRun run, Consumer<String> violations) {
    long limitMicros =
        GatewaySettings.micros(run.rules().releaseWithinMs()) + AuditedRun.TOLERANCE_MICROS;
    for (Reservation reservation : reservations(run)) {
      TrafficEvent reserved = reservation.reserved();
      long idleMicros = longestIdleMicros(run, reservation);
      if (idleMicros > limitMicros
          && !run.wasKilledWithin(
              reserved.gateway(), reserved.atMicros(), reservation.endMicros())) {
        violations.accept(
            "a state of "
                + reserved.mark()
                + " was reserved at "
                + reserved.server()
                + " for "
                + idleMicros / AuditedRun.MICROS_PER_MILLI
                + " ms without an attempt of its request in flight");
      }
    }
  }

  private static List<Reservation> reservations(AuditedRun run) {
    Map<String, TrafficEvent> open = new LinkedHashMap<>();
    List<Reservation> reservations = new ArrayList<>();
    for (TrafficEvent event : run.events()) {
      String request = event.server() + "/" + event.requestId();
      switch (event.kind()) {
        case STATE_RESERVED -> open.put(request, event);
        case STATE_FETCHED, STATE_RELEASED -> {
          TrafficEvent reserved = open.remove(request);
          if (reserved != null) {
            reservations.add(new Reservation(reserved, event.atMicros()));
          }
        }
        case DIED -> endReservationsAt(event, open, reservations);
        default -> {
          // does not concern a state
        }
      }
    }
    open.values().forEach(reserved -> reservations.add(new Reservation(reserved, run.endMicros())));
    return reservations;
  }

  private static void endReservationsAt(
      TrafficEvent death, Map<String, TrafficEvent> open, List<Reservation> reservations) {
    for (Iterator<TrafficEvent> iterator = open.values().iterator(); iterator.hasNext(); ) {
      TrafficEvent reserved = iterator.next();
      if (reserved.server().equals(death.server())) {
        reservations.add(new Reservation(reserved, death.atMicros()));
        iterator.remove();
      }
    }
  }

  /** The longest span of a reservation during which its request had no attempt in flight. */
  private static long longestIdleMicros(AuditedRun run, Reservation reservation) {
    TrafficEvent reserved = reservation.reserved();
    List<EngineAttempt> attempts =
        run.attempts(reserved.mark()).stream()
            .filter(attempt -> attempt.gateway().equals(reserved.gateway()))
            .sorted(Comparator.comparingLong(EngineAttempt::startMicros))
            .toList();
    long endMicros = reservation.endMicros();
    long idleSinceMicros = reserved.atMicros();
    long longestMicros = 0;
    for (EngineAttempt attempt : attempts) {
      if (attempt.startMicros() > idleSinceMicros) {
        long idleUntilMicros = Math.min(attempt.startMicros(), endMicros);
        longestMicros =
            Math.max(longestMicros, idleMicros(run, reserved, idleSinceMicros, idleUntilMicros));
      }
      boolean hasEnded = attempt.endMicros() != EngineAttempt.NOT_ENDED;
      idleSinceMicros = Math.max(idleSinceMicros, hasEnded ? attempt.endMicros() : endMicros);
    }
    return Math.max(longestMicros, idleMicros(run, reserved, idleSinceMicros, endMicros));
  }

  private static long idleMicros(
      AuditedRun run, TrafficEvent reserved, long fromMicros, long toMicros) {
    return toMicros - fromMicros - run.pausedMicrosWithin(reserved.gateway(), fromMicros, toMicros);
  }
}
