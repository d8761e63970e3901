package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemondock.emulator.TrafficEvent;
import org.junit.jupiter.api.Test;

/** The whole way of a request, on loopback sockets. */
class RequestPathTest {
  @Test
  void aCallIsReadWrittenAndStreamed() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord seen =
          fixture.call(ScenarioFixture.request("m1", "answer in 5 words", ToolBehaviour.ANSWER));
      assertEquals(" a0 a1 a2 a3 a4", seen.finalText);
      assertEquals(seen.finalText, seen.streamed.toString());
      assertEquals(5, seen.tokens);
      assertEquals(1, seen.responses);
      assertEquals(List.of(), seen.protocolViolations);
      assertEquals(1, fixture.events(TrafficEvent.Kind.PREFILL, "m1").size());
      assertEquals(1, fixture.events(TrafficEvent.Kind.STATE_FETCHED, "m1").size());
      assertEquals(1, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m1").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void twoToolCallsInMidStream() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord seen =
          fixture.call(
              ScenarioFixture.request(
                  "m2",
                  "call the tool stock and then call the tool price",
                  ToolBehaviour.ANSWER,
                  "stock",
                  "price"));
      assertEquals(
          List.of("stock{\"turn\":0,\"number\":0}", "price{\"turn\":1,\"number\":0}"),
          seen.toolCalls);
      assertTrue(
          seen.finalText.startsWith(" a0 a1 a2 a3[did-stock] b0 b1 b2 b3[did-price] c0"),
          seen.finalText);
      assertEquals(seen.finalText, seen.streamed.toString());
      assertEquals(3, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m2").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void aMixedServerReadsAndWritesInPlace() {
    try (ScenarioFixture fixture = new ScenarioFixture(s -> {}, ScenarioFixture.mixed("x"))) {
      CallRecord seen =
          fixture.call(ScenarioFixture.request("m3", "answer in 3 words", ToolBehaviour.ANSWER));
      assertEquals(" a0 a1 a2", seen.finalText);
      assertEquals(0, fixture.events(TrafficEvent.Kind.PREFILL, "m3").size());
      fixture.awaitIdle();
    }
  }
}
