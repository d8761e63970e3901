package lemondock.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondock.emulator.TrafficEvent;

/** A request for prefill or decode as its engine observed it. */
final class EngineAttempt {
  /** The end time of an attempt whose end was not observed. */
  static final long NOT_ENDED = Long.MAX_VALUE;

  private final TrafficEvent arrival;
  private long endMicros = NOT_ENDED;
  private boolean rejected;

  private EngineAttempt(TrafficEvent arrival) {
    this.arrival = arrival;
  }

  /** All attempts, grouped by the mark of their call, in the order of their arrival. */
  static Map<String, List<EngineAttempt>> groupByMark(List<TrafficEvent> sortedEvents) {
    Map<String, List<EngineAttempt>> attemptsByMark = new LinkedHashMap<>();
    Map<String, EngineAttempt> attemptByRequest = new HashMap<>();
    for (TrafficEvent event : sortedEvents) {
      String request = event.server() + "/" + event.requestId();
      switch (event.kind()) {
        case PREFILL, DECODE -> {
          EngineAttempt attempt = new EngineAttempt(event);
          attemptByRequest.put(request, attempt);
          attemptsByMark.computeIfAbsent(event.mark(), mark -> new ArrayList<>()).add(attempt);
        }
        case ANSWERED, REJECTED, CONNECTION_LOST -> {
          if (attemptByRequest.containsKey(request)) {
            attemptByRequest.get(request).end(event);
          }
        }
        case DIED ->
            attemptByRequest.values().stream()
                .filter(attempt -> attempt.server().equals(event.server()))
                .forEach(attempt -> attempt.end(event));
        default -> {
          // does not concern an attempt
        }
      }
    }
    return attemptsByMark;
  }

  private void end(TrafficEvent event) {
    endMicros = Math.min(endMicros, event.atMicros());
    rejected |= event.kind() == TrafficEvent.Kind.REJECTED;
  }

  String server() {
    return arrival.server();
  }

  String gateway() {
    return arrival.gateway();
  }

  /** The number of messages in the prompt, which distinguishes the turns of a call. */
  String turn() {
    return arrival.detail();
  }

  long startMicros() {
    return arrival.atMicros();
  }

  /** When it ended; {@link #NOT_ENDED} if its end was not observed. */
  long endMicros() {
    return endMicros;
  }

  /** Whether it may have had an effect: a decode request that was not rejected. */
  boolean mayHaveRun() {
    return arrival.kind() == TrafficEvent.Kind.DECODE && !rejected;
  }
}
