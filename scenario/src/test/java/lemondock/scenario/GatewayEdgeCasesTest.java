package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import lemondock.emulator.EngineFaults;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.Test;

/** What breaks, one by one, and what must be seen on the sockets. */
class GatewayEdgeCasesTest {
  private static final String LONG = "answer in 40 words";

  private static void limits(ObjectNode s, double deadlineMs) {
    for (var c : s.withArray("classes")) {
      ((ObjectNode) c)
          .put("deadlineMs", deadlineMs)
          .put("aimMs", deadlineMs / 3)
          .put("toolTimeoutMs", 300);
    }
    ((ObjectNode) s.get("engines")).put("streamSilenceMs", 300);
    ((ObjectNode) s.get("front")).put("resumeWindowMs", 0);
  }

  private static Consumer<ObjectNode> quick() {
    return s -> limits(s, 1500);
  }

  private static Consumer<ObjectNode> once() {
    return s -> {
      limits(s, 1500);
      ((ObjectNode) s.at("/classes/0")).put("repeat", "once");
    };
  }

  private static void fault(ScenarioFixture fixture, String engine, Consumer<EngineFaults> set) {
    fixture
        .fleet
        .emulators()
        .invokeAndWait(
            () -> {
              set.accept(fixture.fleet.engine(engine).faults());
            });
  }

  private static void faults(ScenarioFixture fixture, Consumer<EngineFaults> set) {
    fixture.fleet.engines().forEach(e -> fault(fixture, e, set));
  }

  private static void assertOneEnd(CallRecord seen) {
    assertEquals(1, seen.responses);
    assertEquals(0, seen.messagesAfterAnswer);
    assertEquals(List.of(), seen.protocolViolations);
  }

  /** Makes a call, which must end once and with the whole answer. */
  private static CallRecord assertServedComplete(ScenarioFixture fixture) {
    CallRecord seen = fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER));
    assertOneEnd(seen);
    assertEquals(ScenarioFixture.answerText(40), seen.finalText);
    return seen;
  }

  // ==== writers

  @Test
  void aWriterThatBreaksBeforeItsFirstToken() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      faults(
          fixture,
          f -> {
            f.breakAfterTokens = 0;
            f.hits = new EngineFaults.Hits(1);
          });
      assertServedComplete(fixture);
      fixture.awaitIdle();
    }
  }

  @Test
  void aWriterThatBreaksAfterSomeTokensIsGoneOnBehind() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(
          fixture,
          f -> {
            f.breakAfterTokens = 7;
            f.hits = new EngineFaults.Hits(1);
          });
      CallRecord seen = assertServedComplete(fixture);
      assertEquals(ScenarioFixture.answerText(40), seen.streamed.toString());
      assertEquals(40, seen.tokens);
      assertTrue(fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m").size() >= 2);
      fixture.awaitIdle();
    }
  }

  @Test
  void anAnswerThatMayRunOnlyOnceFailsWhenItBreaks() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            once(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(fixture, f -> f.breakAfterTokens = 7);
      CallRecord seen = fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(Mcp.FAILED, seen.errorCode);
      assertFalse(seen.retryable);
      assertEquals(1, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void aWriterThatBreaksAfterAToolCallWasRelayed() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request(
                  "m", "call the tool stock " + LONG, ToolBehaviour.ANSWER, "stock"),
              call ->
                  faults(
                      fixture,
                      f -> {
                        f.breakAfterTokens = 6; // the first leg has four tokens: it is
                        // the second that breaks
                        f.hits = new EngineFaults.Hits(1);
                      }));
      CallRecord seen = ScenarioFixture.get(done).record();
      assertOneEnd(seen);
      assertEquals(1, seen.toolCalls.size());
      assertTrue(
          seen.finalText.startsWith(" a0 a1 a2 a3[did-stock] b0 b1")
              && seen.finalText.endsWith(" b39"),
          seen.finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void streamsThatFallSilentMidwayAreBrokenOffAndGoneOnWith() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(
          fixture,
          f -> {
            f.stallAfterTokens = 5;
            f.hits = new EngineFaults.Hits(1);
          });
      assertServedComplete(fixture);
      fixture.awaitIdle();
    }
  }

  // ==== readers and states

  @Test
  void aReaderThatDiesHoldingAState() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w"))) {
      for (String reader : List.of("r1", "r2")) {
        fault(fixture, reader, f -> f.losesStates = true);
      }
      CallRecord lost = fixture.call(ScenarioFixture.request("m1", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(lost);
      assertEquals(Mcp.REJECTED, lost.errorCode);
      assertTrue(lost.retryable);
      for (String reader : List.of("r1", "r2")) {
        fault(fixture, reader, f -> f.losesStates = false);
      }
      assertEquals(
          ScenarioFixture.answerText(40),
          fixture.call(ScenarioFixture.request("m2", LONG, ToolBehaviour.ANSWER)).finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void everyReaderGone() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fixture.fleet.crashEngine("r", 0);
      CallRecord seen = fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(Mcp.REJECTED, seen.errorCode);
      assertTrue(seen.retryable);
    }
  }

  @Test
  void anEmptyListAndOneWhoseServersAllChange() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                fixture.fleet.catalogue().setEmpty(true);
              });
      assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 0, 5_000));
      assertEquals(
          Mcp.REJECTED,
          fixture.call(ScenarioFixture.request("m1", LONG, ToolBehaviour.ANSWER)).errorCode);
      fixture.fleet.crashEngine("r", 0);
      fixture.fleet.crashEngine("w", 0);
      fixture.fleet.addEngine(ScenarioFixture.reader("r9"));
      fixture.fleet.addEngine(ScenarioFixture.writer("w9"));
      fixture
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                fixture.fleet.catalogue().setEmpty(false);
              });
      assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 5_000));
      assertEquals(
          ScenarioFixture.answerText(40),
          fixture.call(ScenarioFixture.request("m2", LONG, ToolBehaviour.ANSWER)).finalText);
    }
  }

  @Test
  void aDrainToldWhileASendIsUnderWay() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w1"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request("m", "answer in 200 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      fixture.fleet.setEngineDraining("w1", true);
      assertEquals(
          ScenarioFixture.answerText(200),
          ScenarioFixture.get(done).record().finalText); // what runs may end
      assertEquals(
          Mcp.REJECTED,
          fixture.call(ScenarioFixture.request("m2", LONG, ToolBehaviour.ANSWER)).errorCode);
      assertEquals(0, fixture.events(TrafficEvent.Kind.DECODE, "m2").size());
    }
  }

  // ==== engines that misbehave

  private void misbehaving(Consumer<EngineFaults> fault) {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(fixture, fault);
      CallRecord seen = fixture.call(ScenarioFixture.request("m1", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertTrue(
          seen.errorCode == Mcp.REJECTED || seen.errorCode == Mcp.FAILED, "code " + seen.errorCode);
      long took = TimeUnit.MICROSECONDS.toMillis(seen.answeredAtMicros - seen.calledAtMicros);
      assertTrue(took < 2_000, "after " + took + " ms");
      faults(
          fixture,
          f -> {
            f.silent = false;
            f.rawResponse = null;
            f.malformedEvent = null;
          });
      ScenarioFixture.await(
          "service again",
          () ->
              fixture
                  .call(ScenarioFixture.request("m2", LONG, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(ScenarioFixture.answerText(40)));
      fixture.awaitIdle();
    }
  }

  @Test
  void anEngineThatAcceptsAndStaysSilent() {
    misbehaving(f -> f.silent = true);
  }

  @Test
  void anEngineThatSendsHalfAChunk() {
    misbehaving(f -> f.rawResponse = "half".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void anEngineThatSendsMalformedEvents() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fault(fixture, "w", f -> f.malformedEvent = "{\"choices\":[");
      CallRecord seen = fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(
          Mcp.FAILED, seen.errorCode); // some tokens were delivered, and each going-on breaks again
      fixture.awaitIdle();
    }
  }

  @Test
  void anEngineThatReportsAnErrorInItsStream() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fault(
          fixture,
          "w",
          f -> {
            f.malformedEvent = "{\"error\":{\"message\":\"out of memory\"}}";
            f.hits = new EngineFaults.Hits(1);
          });
      CallRecord seen = fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(ScenarioFixture.answerText(40), seen.finalText);
    }
  }

  // ==== clients

  private void leaves(
      String text,
      ToolBehaviour toolBehaviour,
      java.util.function.Predicate<ScenarioFixture> when) {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r").withLatencies(60, 1, 5),
            ScenarioFixture.writer("w").withLatencies(60, 60, 5))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      fixture.begin(
          fixture.client(), ScenarioFixture.request("m", text, toolBehaviour, "stock"), call::set);
      ScenarioFixture.await("the moment to leave", () -> call.get() != null && when.test(fixture));
      fixture.clients.loop().execute(call.get()::cancel);
      fixture.awaitIdle();
      assertEquals(0, call.get().record().responses);
    }
  }

  @Test
  void aClientThatLeavesBeforeTheRead() {
    leaves(LONG, ToolBehaviour.ANSWER, b -> true);
  }

  @Test
  void aClientThatLeavesWhileAStateIsHeld() {
    leaves(
        LONG,
        ToolBehaviour.ANSWER,
        b -> !b.events(TrafficEvent.Kind.STATE_RESERVED, "m").isEmpty());
  }

  @Test
  void aClientThatLeavesMidStream() {
    leaves(
        "answer in 400 words",
        ToolBehaviour.ANSWER,
        b -> !b.events(TrafficEvent.Kind.DECODE_STARTED, "m").isEmpty());
  }

  @Test
  void aClientThatLeavesMidCall() {
    leaves(
        "call the tool stock",
        ToolBehaviour.SILENT,
        b -> b.events(TrafficEvent.Kind.ANSWERED, "m").size() == 2);
  }

  @Test
  void aToolThatNeverAnswersAnswersTwiceOrFails() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord silent =
          fixture.call(
              ScenarioFixture.request("m1", "call the tool stock", ToolBehaviour.SILENT, "stock"));
      assertOneEnd(silent);
      assertTrue(silent.finalText.contains("[the tool gave no result in time]"), silent.finalText);
      CallRecord twice =
          fixture.call(
              ScenarioFixture.request("m2", "call the tool stock", ToolBehaviour.TWICE, "stock"));
      assertOneEnd(twice);
      assertTrue(twice.finalText.contains("[did-stock]"), twice.finalText);
      CallRecord error =
          fixture.call(
              ScenarioFixture.request("m3", "call the tool stock", ToolBehaviour.ERROR, "stock"));
      assertOneEnd(error);
      assertTrue(error.finalText.contains("[error -32000: the tool failed]"), error.finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void toolsCalledTogetherAreAnsweredInAnyOrder() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord seen =
          fixture.call(
              ScenarioFixture.request(
                  "m",
                  "call the tools stock and price together",
                  ToolBehaviour.ANSWER,
                  "stock",
                  "price"));
      assertOneEnd(seen);
      assertTrue(seen.finalText.contains("[did-stock|did-price]"), seen.finalText);
    }
  }

  // ==== stops

  @Test
  void aStopLetsStreamsEndAndTakesNoNewCalls() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      McpClient client = fixture.client();
      CompletableFuture<McpCall> done =
          fixture.begin(
              client,
              ScenarioFixture.request("m", "answer in 300 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      Gateway gateway = fixture.fleet.gateway(ScenarioFixture.GATEWAY);
      CompletableFuture<Void> stopped = gateway.stop();
      assertEquals(ScenarioFixture.answerText(300), ScenarioFixture.get(done).record().finalText);
      ScenarioFixture.get(stopped);
    }
  }

  @Test
  void aStopCutsWhatTakesTooLong() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              limits(s, 1500);
              ((ObjectNode) s.get("limits")).put("stopWithinMs", 100);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request("m", "answer in 400 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      fixture.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      CallRecord seen = ScenarioFixture.get(done).record();
      assertOneEnd(seen);
      assertEquals(Mcp.FAILED, seen.errorCode);
    }
  }

  // ==== many at a time

  @Test
  void moreCallsThanTheGatewayTakes() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              limits(s, 1500);
              ((ObjectNode) s.get("limits")).put("maxCalls", 2);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      McpClient client = fixture.client();
      AtomicReference<McpCall> call = new AtomicReference<>();
      final List<CompletableFuture<McpCall>> taken =
          List.of(
              fixture.begin(
                  client,
                  ScenarioFixture.request("m1", "answer in 300 words", ToolBehaviour.ANSWER)),
              fixture.begin(
                  client,
                  ScenarioFixture.request("m2", "answer in 300 words", ToolBehaviour.ANSWER),
                  call::set));
      ScenarioFixture.await(
          "two calls", () -> call.get() != null && call.get().record().tokens > 0);
      CallRecord third =
          ScenarioFixture.get(
                  fixture.begin(client, ScenarioFixture.request("m3", LONG, ToolBehaviour.ANSWER)))
              .record();
      assertEquals(Mcp.LIMIT, third.errorCode);
      assertTrue(third.retryable);
      taken.forEach(
          t ->
              assertEquals(
                  ScenarioFixture.answerText(300), ScenarioFixture.get(t).record().finalText));
    }
  }

  @Test
  void finalAnswersThatRaceTheDeadline() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              limits(s, 60);
              ((ObjectNode) s.at("/classes/0")).put("aimMsPerThousandTokens", 0);
            },
            ScenarioFixture.reader("r").withLatencies(20, 1, 1),
            ScenarioFixture.writer("w")
                .withLatencies(1, 28, 1))) { // a first token after about 60 ms
      McpClient client = fixture.client();
      List<CompletableFuture<McpCall>> calls = new java.util.ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(
            fixture.begin(
                client,
                ScenarioFixture.request("m" + i, "answer in 5 words", ToolBehaviour.ANSWER)));
      }
      for (CompletableFuture<McpCall> call : calls) {
        CallRecord seen = ScenarioFixture.get(call).record();
        assertOneEnd(seen);
        assertTrue(
            seen.served()
                ? seen.finalText.equals(ScenarioFixture.answerText(5))
                : seen.errorCode <= Mcp.REJECTED,
            seen.finalText);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void pooledConnectionsThatTheirPeerClosedBetweenRequests() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      assertEquals(
          ScenarioFixture.answerText(40),
          fixture.call(ScenarioFixture.request("m1", LONG, ToolBehaviour.ANSWER)).finalText);
      for (String engine : List.of("r", "w")) {
        fixture.fleet.crashEngine(engine, 10_000_000); // the list does not hear of it
        fixture.fleet.restartEngine(engine);
      }
      ScenarioFixture.await(
          "service",
          () ->
              fixture
                  .call(ScenarioFixture.request("m2", LONG, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(ScenarioFixture.answerText(40)));
      fixture.awaitIdle();
    }
  }

  @Test
  void aClientThatReadsSlowlySlowsItsEngineAndNobodyElse() throws Exception {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> ((ObjectNode) s.at("/classes/0")).put("maxTokens", 10_000),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 0))) {
      String session =
          java.net.http.HttpClient.newHttpClient()
              .send(
                  java.net.http.HttpRequest.newBuilder(
                          java.net.URI.create("http://127.0.0.1:" + fixture.port + "/mcp"))
                      .header("Content-Type", "application/json")
                      .header("Accept", "application/json")
                      .POST(
                          java.net.http.HttpRequest.BodyPublishers.ofString(
                              "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":"
                                  + "\"initialize\",\"params\":{\"protocolVersion\":\"2025-06-18\"}}"))
                      .build(),
                  java.net.http.HttpResponse.BodyHandlers.discarding())
              .headers()
              .firstValue("mcp-session-id")
              .orElseThrow();
      String body =
          "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"_meta\":{\"progressToken\":1},\"arguments\":{\"prompt\":\"#slow#"
              + " answer in 4000 words of 8000 letters\"}}}";
      try (java.net.Socket socket = new java.net.Socket()) {
        socket.setReceiveBufferSize(64 * 1024);
        socket.connect(new java.net.InetSocketAddress("127.0.0.1", fixture.port));
        socket.setSoTimeout(20_000);
        socket
            .getOutputStream()
            .write(
                ("POST /mcp HTTP/1.1\r\n"
                        + "Host: localhost\r\n"
                        + "Content-Type: application/json\r\n"
                        + "Accept: text/event-stream\r\n"
                        + "Mcp-Session-Id: "
                        + session
                        + "\r\nConnection: close\r\n"
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                    .getBytes(StandardCharsets.UTF_8));
        int[] before = {-2};
        ScenarioFixture.await(
            "the engine waits",
            () -> {
              int now =
                  fixture
                      .fleet
                      .emulators()
                      .invokeAndWait(() -> fixture.fleet.engine("w").tokensSent("slow").orElse(-1));
              boolean stands = now > 0 && now == before[0];
              before[0] = now;
              ScenarioFixture.pause(100);
              return stands;
            });
        assertTrue(before[0] < 4000, "all of 32 MB was taken: " + before[0]);
        assertEquals(
            ScenarioFixture.answerText(40),
            fixture.call(ScenarioFixture.request("m", LONG, ToolBehaviour.ANSWER)).finalText);
        byte[] all = socket.getInputStream().readAllBytes();
        assertTrue(all.length > 4000 * 8000);
        assertTrue(
            new String(all, all.length - 400, 400, StandardCharsets.UTF_8)
                .contains("\"finishReason\":\"stop\""));
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void aGatewayAtItsLimitRefusesEarlyAndRunningStreamsGoOn() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              s.putObject("overload").put("targetMs", 50).put("intervalMs", 10);
              s.putObject("reporting").put("tickMs", 20).put("intervalMs", 20);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      McpClient client =
          fixture.client(); // with a session from before: a gateway at its limit refuses
      // new ones as well
      final CompletableFuture<McpCall> running =
          fixture.begin(
              client,
              ScenarioFixture.request("running", "answer in 100 words", ToolBehaviour.ANSWER));
      ScenarioFixture.await(
          "it runs", () -> !fixture.events(TrafficEvent.Kind.DECODE, "running").isEmpty());
      AtomicBoolean tooMuch = new AtomicBoolean(true);
      for (int i = 0; i < 3; i++) { // work always waits for the context for longer than the target
        keepBusy(fixture.fleet.gatewayProcess(ScenarioFixture.GATEWAY), tooMuch);
      }
      AtomicReference<CallRecord> refused = new AtomicReference<>();
      ScenarioFixture.await(
          "a refusal",
          () -> {
            CallRecord seen =
                ScenarioFixture.get(
                        fixture.begin(
                            client,
                            ScenarioFixture.request(
                                "late" + System.nanoTime(),
                                "answer in 1 words",
                                ToolBehaviour.ANSWER)))
                    .record();
            refused.set(seen);
            return seen.errorCode == Mcp.REJECTED
                && fixture.events(TrafficEvent.Kind.PREFILL, seen.mark).isEmpty();
          });
      tooMuch.set(false);
      assertTrue(
          refused.get().retryable && refused.get().retryAfterMs >= 250,
          "advice " + refused.get().retryAfterMs);
      assertTrue(ScenarioFixture.get(running).record().served());
      ScenarioFixture.await(
          "all is let in again",
          () ->
              ScenarioFixture.get(
                      fixture.begin(
                          client,
                          ScenarioFixture.request(
                              "after" + System.nanoTime(),
                              "answer in 1 words",
                              ToolBehaviour.ANSWER)))
                  .record()
                  .served());
      var tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY).get("tally");
      assertTrue(tally.at("/overload/0/refused").longValue() > 0, tally.get("overload").toString());
    }
  }

  private static void keepBusy(EmulatedProcess node, AtomicBoolean on) {
    node.loop()
        .execute(
            () -> {
              busy(40);
              if (on.get()) {
                keepBusy(node, on);
              }
            });
  }

  private static void busy(long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < until) {
      Thread.onSpinWait();
    }
  }
}
