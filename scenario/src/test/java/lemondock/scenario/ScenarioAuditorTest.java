package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;
import org.junit.jupiter.api.Test;

/** Time for which a gateway stood still counts against no limit; all other time does. */
class ScenarioAuditorTest {
  private static final long MS = 1_000;
  private static final long T0 = 1_000_000 * MS;
  private static final GatewaySettings SETTINGS =
      ScenarioSettings.gateway("gw", 0, 1, "north", 1, "127.0.0.1:1");
  private static final EngineSettings READER = EngineSettings.quick("r", "reader", "north", "r1");

  private static Set<Integer> violatedRules(
      List<TrafficEvent> events, List<CallRecord> calls, GatewayPause... pauses) {
    ScenarioRecording recording =
        new ScenarioRecording(
            SETTINGS, List.of(READER), events, calls, List.of(), List.of(pauses), T0 + 60_000 * MS);
    return ScenarioAuditor.check(recording).violatedRules();
  }

  private static TrafficEvent event(long at, TrafficEvent.Kind what, String detail) {
    return new TrafficEvent(T0 + at * MS, "r", what, "gw-1", "m", "gw", 10, detail);
  }

  private static GatewayPause pause(String gateway, long from, long to) {
    return new GatewayPause(gateway, T0 + from * MS, T0 + to * MS);
  }

  /** Answered whole, the first token after so many milliseconds. */
  private static CallRecord call(long first) {
    CallRecord c = new CallRecord("m", "gw", 0, 100, false, T0);
    c.firstMessageAtMicros = T0 + first * MS;
    c.answeredAtMicros = c.firstMessageAtMicros + 10 * MS;
    c.responses = 1;
    return c;
  }

  @Test
  void anAnswerMayBeLateByAsMuchAsItsGatewayStoodStill() {
    long patience = SETTINGS.classes().get(0).deadlineMicros(34) / MS;
    assertEquals(Set.of(), violatedRules(List.of(), List.of(call(patience))));
    assertEquals(Set.of(1), violatedRules(List.of(), List.of(call(patience + 2_000))));
    assertEquals(
        Set.of(),
        violatedRules(List.of(), List.of(call(patience + 2_000)), pause("gw", 500, 2_500)));
    assertEquals(
        Set.of(1),
        violatedRules(List.of(), List.of(call(patience + 4_000)), pause("gw", 500, 2_500)),
        "and by no more");
    assertEquals(
        Set.of(1),
        violatedRules(List.of(), List.of(call(patience + 2_000)), pause("gw-2", 500, 2_500)),
        "not by another's");
  }

  @Test
  void aDrainIsHeardOfLaterAndAStateIsHeldLonger() {
    List<TrafficEvent> drained =
        List.of(
            event(0, TrafficEvent.Kind.ENDPOINTS_SENT, "r=draining"),
            event(1_500, TrafficEvent.Kind.PREFILL, ""),
            event(1_510, TrafficEvent.Kind.ANSWERED, ""));
    assertEquals(Set.of(3), violatedRules(drained, List.of()));
    assertEquals(Set.of(), violatedRules(drained, List.of(), pause("gw", 10, 1_200)));
    assertEquals(Set.of(3), violatedRules(drained, List.of(), pause("gw", 10, 200)));
    List<TrafficEvent> held =
        List.of(
            event(0, TrafficEvent.Kind.PREFILL, ""),
            event(10, TrafficEvent.Kind.ANSWERED, "read"),
            event(10, TrafficEvent.Kind.STATE_RESERVED, ""),
            event(1_500, TrafficEvent.Kind.STATE_RELEASED, ""));
    assertEquals(Set.of(5), violatedRules(held, List.of()));
    assertEquals(Set.of(), violatedRules(held, List.of(), pause("gw", 20, 1_300)));
    assertEquals(Set.of(5), violatedRules(held, List.of(), pause("gw", 20, 300)));
  }

  @Test
  void aWindowOfRepetitionIsNoLongerForIt() {
    int keyed = 3;
    CallRecord c = new CallRecord("m", "gw", keyed, 100, false, T0);
    c.firstMessageAtMicros = T0 + 10 * MS;
    c.answeredAtMicros = T0 + 3_000 * MS;
    c.responses = 1;
    List<TrafficEvent> twice =
        List.of(
            event(0, TrafficEvent.Kind.DECODE, "1"),
            event(10, TrafficEvent.Kind.CONNECTION_LOST, ""),
            new TrafficEvent(
                T0 + 2_500 * MS, "r", TrafficEvent.Kind.DECODE, "gw-2", "m", "gw", 10, "1"));
    assertEquals(Set.of(2), violatedRules(twice, List.of(c), pause("gw", 20, 2_400)));
  }
}
