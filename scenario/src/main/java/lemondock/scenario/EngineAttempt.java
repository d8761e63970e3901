package lemondock.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondock.emulator.TrafficEvent;

/** A request for prefill or decode as its engine saw it. */
final class EngineAttempt {
  /** The end of an attempt that was never seen to end. */
  static final long NOT_ENDED = Long.MAX_VALUE;

  private final TrafficEvent arrival;
  private long endMicros = NOT_ENDED;
  private boolean rejected;

  private EngineAttempt(TrafficEvent arrival) {
    this.arrival = arrival;
  }

  /** All attempts in the order of their arrival, by the mark of their call. */
  static Map<String, List<EngineAttempt>> byMark(List<TrafficEvent> sortedEvents) {
    Map<String, List<EngineAttempt>> byMark = new LinkedHashMap<>();
    Map<String, EngineAttempt> byRequest = new HashMap<>();
    for (TrafficEvent event : sortedEvents) {
      String request = event.server() + "/" + event.requestId();
      switch (event.kind()) {
        case PREFILL, DECODE -> {
          EngineAttempt attempt = new EngineAttempt(event);
          byRequest.put(request, attempt);
          byMark.computeIfAbsent(event.mark(), mark -> new ArrayList<>()).add(attempt);
        }
        case ANSWERED, REJECTED, CONNECTION_LOST -> {
          if (byRequest.containsKey(request)) {
            byRequest.get(request).end(event);
          }
        }
        case DIED ->
            byRequest.values().stream()
                .filter(attempt -> attempt.server().equals(event.server()))
                .forEach(attempt -> attempt.end(event));
        default -> {
          // says nothing about an attempt
        }
      }
    }
    return byMark;
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

  /** Tells the turns of a call apart: the number of messages in the prompt. */
  String turn() {
    return arrival.detail();
  }

  long startMicros() {
    return arrival.atMicros();
  }

  /** When it ended, {@link #NOT_ENDED} if that was not seen. */
  long endMicros() {
    return endMicros;
  }

  /** Whether it was a request for an answer that was not rejected, so that it may have run. */
  boolean mayHaveRun() {
    return arrival.kind() == TrafficEvent.Kind.DECODE && !rejected;
  }
}
