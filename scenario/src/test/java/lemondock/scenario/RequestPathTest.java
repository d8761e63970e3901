package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import lemondock.emulator.TrafficEvent;
import org.junit.jupiter.api.Test;

/** A request from the client through gateway and engines and back, on loopback sockets. */
class RequestPathTest {
  @Test
  void callIsPrefilledDecodedAndStreamed() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord record =
          fixture.call(ScenarioFixture.request("m1", "answer in 5 words", ToolBehaviour.ANSWER));
      assertEquals(" a0 a1 a2 a3 a4", record.finalText);
      assertEquals(record.finalText, record.streamed.toString());
      assertEquals(5, record.tokens);
      assertEquals(1, record.responses);
      assertEquals(List.of(), record.protocolViolations);
      assertEquals(1, fixture.events(TrafficEvent.Kind.PREFILL, "m1").size());
      assertEquals(1, fixture.events(TrafficEvent.Kind.STATE_FETCHED, "m1").size());
      assertEquals(1, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m1").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void twoToolCallsInOneStreamAreRelayedAndContinued() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord record =
          fixture.call(
              ScenarioFixture.request(
                  "m2",
                  "call the tool stock and then call the tool price",
                  ToolBehaviour.ANSWER,
                  "stock",
                  "price"));
      assertEquals(
          List.of("stock{\"turn\":0,\"number\":0}", "price{\"turn\":1,\"number\":0}"),
          record.toolCalls);
      assertTrue(
          record.finalText.startsWith(" a0 a1 a2 a3[did-stock] b0 b1 b2 b3[did-price] c0"),
          record.finalText);
      assertEquals(record.finalText, record.streamed.toString());
      assertEquals(3, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m2").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void mixedServerPrefillsAndDecodesInOneRequest() {
    try (ScenarioFixture fixture = new ScenarioFixture(s -> {}, ScenarioFixture.mixed("x"))) {
      CallRecord record =
          fixture.call(ScenarioFixture.request("m3", "answer in 3 words", ToolBehaviour.ANSWER));
      assertEquals(" a0 a1 a2", record.finalText);
      assertEquals(0, fixture.events(TrafficEvent.Kind.PREFILL, "m3").size());
      fixture.awaitIdle();
    }
  }
}
