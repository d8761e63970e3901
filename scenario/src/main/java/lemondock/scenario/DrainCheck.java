package lemondock.scenario;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/** Rule 3: a draining or removed server gets no new requests after the grace period. */
final class DrainCheck implements RuleCheck {
  private static final String READY_SUFFIX = "=ready";

  @Override
  public int rule() {
    return 3;
  }

  @Override
  public void check(AuditedRun run, Consumer<String> violations) {
    long graceMicros =
        GatewaySettings.micros(run.rules().drainGraceMs()) + AuditedRun.TOLERANCE_MICROS;
    Map<String, Map<String, Long>> notReadySinceByGateway = new HashMap<>();
    for (TrafficEvent event : run.events()) {
      Map<String, Long> notReadySince =
          notReadySinceByGateway.computeIfAbsent(event.gateway(), gateway -> new HashMap<>());
      if (event.kind() == TrafficEvent.Kind.ENDPOINTS_SENT) {
        updateNotReady(notReadySince, run.engineNames(), event);
      } else if (event.kind() == TrafficEvent.Kind.PREFILL
          || event.kind() == TrafficEvent.Kind.DECODE) {
        Long since = notReadySince.get(event.server());
        if (since != null && isTooLate(run, event, since, graceMicros)) {
          violations.accept(describe(event, since));
        }
      }
    }
  }

  private static void updateNotReady(
      Map<String, Long> notReadySince, Set<String> engines, TrafficEvent sentList) {
    Set<String> ready = new HashSet<>();
    for (String entry : sentList.detail().split(" ")) {
      if (entry.endsWith(READY_SUFFIX)) {
        ready.add(entry.substring(0, entry.length() - READY_SUFFIX.length()));
      }
    }
    for (String engine : engines) {
      if (ready.contains(engine)) {
        notReadySince.remove(engine);
      } else {
        notReadySince.putIfAbsent(engine, sentList.atMicros());
      }
    }
  }

  private static boolean isTooLate(
      AuditedRun run, TrafficEvent event, long sinceMicros, long graceMicros) {
    long elapsedMicros = event.atMicros() - sinceMicros;
    long pausedMicros = run.pausedMicrosWithin(event.gateway(), sinceMicros, event.atMicros());
    return elapsedMicros - pausedMicros > graceMicros
        && !run.wasKilledWithin(event.gateway(), sinceMicros, event.atMicros());
  }

  private static String describe(TrafficEvent event, long sinceMicros) {
    return event.gateway()
        + " sent "
        + event.requestId()
        + " to "
        + event.server()
        + " "
        + (event.atMicros() - sinceMicros) / AuditedRun.MICROS_PER_MILLI
        + " ms after its endpoint list showed that server as draining or gone";
  }
}
