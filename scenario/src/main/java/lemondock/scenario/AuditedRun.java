package lemondock.scenario;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;

/**
 * A recording prepared for the rule checks: events sorted by time, the events of each attempt
 * joined, and the allowances for gateways that were killed or paused. Immutable after construction.
 */
final class AuditedRun {
  /**
   * Longest delay, on a busy machine, between an action of a gateway and its observation at a
   * peer's socket. It is added to every time limit.
   */
  static final long TOLERANCE_MICROS = 150_000;

  /**
   * Time that a gateway gets after a pause to read the data pending at its sockets before it
   * applies time limits; it counts as paused during that time.
   */
  static final long RESUME_ALLOWANCE_MICROS = 200_000;

  static final long MICROS_PER_MILLI = 1_000;

  private final ScenarioRecording recording;
  private final List<TrafficEvent> events;
  private final Map<String, EngineSettings> engines = new HashMap<>();
  private final Map<String, List<EngineAttempt>> attemptsByMark;

  AuditedRun(ScenarioRecording recording) {
    this.recording = recording;
    this.events =
        recording.events().stream()
            .sorted(Comparator.comparingLong(TrafficEvent::atMicros))
            .toList();
    recording.engines().forEach(engine -> engines.put(engine.name(), engine));
    this.attemptsByMark = EngineAttempt.groupByMark(events);
  }

  GatewaySettings.Rules rules() {
    return recording.settings().rules();
  }

  GatewaySettings.ClassSettings requestClass(CallRecord call) {
    return recording.settings().classes().get(call.classId);
  }

  /** All events, sorted by time. */
  List<TrafficEvent> events() {
    return events;
  }

  List<CallRecord> calls() {
    return recording.calls();
  }

  Set<String> engineNames() {
    return engines.keySet();
  }

  boolean isEngine(String name) {
    return engines.containsKey(name);
  }

  /** Settings of an engine; null if no engine has that name. */
  EngineSettings engine(String name) {
    return engines.get(name);
  }

  /** The attempts of the call with that mark, in the order of their arrival at the engines. */
  List<EngineAttempt> attempts(String mark) {
    return attemptsByMark.getOrDefault(mark, List.of());
  }

  long endMicros() {
    return recording.endMicros();
  }

  /** Whether a gateway was killed in a time span or within the tolerance before it. */
  boolean wasKilledWithin(String gateway, long fromMicros, long toMicros) {
    return recording.kills().stream()
        .filter(kill -> kill.gateway().equals(gateway))
        .anyMatch(
            kill ->
                kill.atMicros() >= fromMicros - TOLERANCE_MICROS && kill.atMicros() <= toMicros);
  }

  /** Time within a time span in which a gateway was paused or had just resumed. */
  long pausedMicrosWithin(String gateway, long fromMicros, long toMicros) {
    return recording.pauses().stream()
        .filter(pause -> pause.gateway().equals(gateway))
        .mapToLong(
            pause -> {
              long begin = Math.max(fromMicros, pause.fromMicros());
              long end = Math.min(toMicros, pause.toMicros() + RESUME_ALLOWANCE_MICROS);
              return Math.max(0, end - begin);
            })
        .sum();
  }
}
