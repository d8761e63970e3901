package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/**
 * Checks that a pause of a gateway extends the time limits of that gateway only, that other delays
 * do not extend them, and that a pause does not extend the deduplication window.
 */
class ScenarioAuditorTest {
  private static final long MICROS_PER_MS = 1_000;
  private static final long START_MICROS = 1_000_000 * MICROS_PER_MS;
  private static final GatewaySettings SETTINGS =
      ScenarioSettings.gateway("gw", 0, 1, "north", 1, "127.0.0.1:1");
  private static final EngineSettings READER = EngineSettings.quick("r", "reader", "north", "r1");

  private static Set<Integer> violatedRules(
      List<TrafficEvent> events, List<CallRecord> calls, GatewayPause... pauses) {
    ScenarioRecording recording =
        new ScenarioRecording(
            SETTINGS,
            List.of(READER),
            events,
            calls,
            List.of(),
            List.of(pauses),
            START_MICROS + 60_000 * MICROS_PER_MS);
    return ScenarioAuditor.check(recording).violatedRules();
  }

  private static TrafficEvent event(long atMs, TrafficEvent.Kind kind, String detail) {
    return new TrafficEvent(
        START_MICROS + atMs * MICROS_PER_MS, "r", kind, "gw-1", "m", "gw", 10, detail);
  }

  private static GatewayPause pause(String gateway, long fromMs, long toMs) {
    return new GatewayPause(
        gateway, START_MICROS + fromMs * MICROS_PER_MS, START_MICROS + toMs * MICROS_PER_MS);
  }

  /** A served call whose first token arrived after this many milliseconds. */
  private static CallRecord servedCall(long firstTokenMs) {
    CallRecord call = new CallRecord("m", "gw", 0, 100, false, START_MICROS);
    call.firstMessageAtMicros = START_MICROS + firstTokenMs * MICROS_PER_MS;
    call.answeredAtMicros = call.firstMessageAtMicros + 10 * MICROS_PER_MS;
    call.responses = 1;
    return call;
  }

  @Test
  void answerMayBeLateByTheTimeItsGatewayWasPaused() {
    long deadlineMs = SETTINGS.classes().get(0).deadlineMicros(34) / MICROS_PER_MS;
    assertEquals(Set.of(), violatedRules(List.of(), List.of(servedCall(deadlineMs))));
    assertEquals(Set.of(1), violatedRules(List.of(), List.of(servedCall(deadlineMs + 2_000))));
    assertEquals(
        Set.of(),
        violatedRules(List.of(), List.of(servedCall(deadlineMs + 2_000)), pause("gw", 500, 2_500)));
    assertEquals(
        Set.of(1),
        violatedRules(List.of(), List.of(servedCall(deadlineMs + 4_000)), pause("gw", 500, 2_500)),
        "a pause of 2 s must not excuse a delay of 4 s");
    assertEquals(
        Set.of(1),
        violatedRules(
            List.of(), List.of(servedCall(deadlineMs + 2_000)), pause("gw-2", 500, 2_500)),
        "a pause of another gateway must not excuse the delay");
  }

  @Test
  void pauseExtendsTheLimitsForDrainAndStateRelease() {
    List<TrafficEvent> drainedServer =
        List.of(
            event(0, TrafficEvent.Kind.ENDPOINTS_SENT, "r=draining"),
            event(1_500, TrafficEvent.Kind.PREFILL, ""),
            event(1_510, TrafficEvent.Kind.ANSWERED, ""));
    assertEquals(Set.of(3), violatedRules(drainedServer, List.of()));
    assertEquals(Set.of(), violatedRules(drainedServer, List.of(), pause("gw", 10, 1_200)));
    assertEquals(Set.of(3), violatedRules(drainedServer, List.of(), pause("gw", 10, 200)));
    List<TrafficEvent> reservedState =
        List.of(
            event(0, TrafficEvent.Kind.PREFILL, ""),
            event(10, TrafficEvent.Kind.ANSWERED, "read"),
            event(10, TrafficEvent.Kind.STATE_RESERVED, ""),
            event(1_500, TrafficEvent.Kind.STATE_RELEASED, ""));
    assertEquals(Set.of(5), violatedRules(reservedState, List.of()));
    assertEquals(Set.of(), violatedRules(reservedState, List.of(), pause("gw", 20, 1_300)));
    assertEquals(Set.of(5), violatedRules(reservedState, List.of(), pause("gw", 20, 300)));
  }

  @Test
  void pauseDoesNotExtendTheDeduplicationWindow() {
    int keyedClassId = 3;
    CallRecord call = new CallRecord("m", "gw", keyedClassId, 100, false, START_MICROS);
    call.firstMessageAtMicros = START_MICROS + 10 * MICROS_PER_MS;
    call.answeredAtMicros = START_MICROS + 3_000 * MICROS_PER_MS;
    call.responses = 1;
    List<TrafficEvent> repeatedDecode =
        List.of(
            event(0, TrafficEvent.Kind.DECODE, "1"),
            event(10, TrafficEvent.Kind.CONNECTION_LOST, ""),
            new TrafficEvent(
                START_MICROS + 2_500 * MICROS_PER_MS,
                "r",
                TrafficEvent.Kind.DECODE,
                "gw-2",
                "m",
                "gw",
                10,
                "1"));
    assertEquals(Set.of(2), violatedRules(repeatedDecode, List.of(call), pause("gw", 20, 2_400)));
  }
}
