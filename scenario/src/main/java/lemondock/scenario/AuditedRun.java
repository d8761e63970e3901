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
 * A recording in the form in which the rules are checked: events sorted, attempts put together, and
 * the allowances for gateways that were killed or paused. Immutable after it was made.
 */
final class AuditedRun {
  /**
   * Time between an act of a gateway and its sight at a peer's socket, on a busy machine. Every
   * limit has it on top.
   */
  static final long TOLERANCE_MICROS = 150_000;

  /**
   * Time that a gateway has after a pause to read what waits at its sockets before it judges by
   * time.
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
    this.attemptsByMark = EngineAttempt.byMark(events);
  }

  GatewaySettings.Rules rules() {
    return recording.settings().rules();
  }

  GatewaySettings.ClassSettings requestClass(CallRecord call) {
    return recording.settings().classes().get(call.classId);
  }

  /** All events by time. */
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

  /** Settings of an engine; the name must be one's. */
  EngineSettings engine(String name) {
    return engines.get(name);
  }

  /** The attempts at a call's requests, by arrival. */
  List<EngineAttempt> attempts(String mark) {
    return attemptsByMark.getOrDefault(mark, List.of());
  }

  long endMicros() {
    return recording.endMicros();
  }

  /** Whether a gateway was killed between two moments or just before. */
  boolean wasKilledWithin(String gateway, long fromMicros, long toMicros) {
    return recording.kills().stream()
        .filter(kill -> kill.gateway().equals(gateway))
        .anyMatch(
            kill ->
                kill.atMicros() >= fromMicros - TOLERANCE_MICROS && kill.atMicros() <= toMicros);
  }

  /** Time between two moments in which a gateway was paused or had just resumed. */
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
