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

  private static void fault(ScenarioFixture bench, String engine, Consumer<EngineFaults> set) {
    bench
        .fleet
        .emulators()
        .invokeAndWait(
            () -> {
              set.accept(bench.fleet.engine(engine).faults());
            });
  }

  private static void faults(ScenarioFixture bench, Consumer<EngineFaults> set) {
    bench.fleet.engines().forEach(e -> fault(bench, e, set));
  }

  private static void assertOneEnd(CallRecord seen) {
    assertEquals(1, seen.responses);
    assertEquals(0, seen.messagesAfterAnswer);
    assertEquals(List.of(), seen.protocolViolations);
  }

  /** The whole text of an answer of so many words in its last turn, without tools. */
  private static String words(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(" a").append(i);
    }
    return text.toString();
  }

  /** Makes a call, which must end once and with the whole answer. */
  private static CallRecord assertServedWhole(ScenarioFixture bench) {
    CallRecord seen = bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER));
    assertOneEnd(seen);
    assertEquals(words(40), seen.finalText);
    return seen;
  }

  // ==== writers

  @Test
  void aWriterThatBreaksBeforeItsFirstToken() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      faults(
          bench,
          f -> {
            f.breakAfter = 0;
            f.hits = new EngineFaults.Hits(1);
          });
      assertServedWhole(bench);
      bench.awaitIdle();
    }
  }

  @Test
  void aWriterThatBreaksAfterSomeTokensIsGoneOnBehind() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(
          bench,
          f -> {
            f.breakAfter = 7;
            f.hits = new EngineFaults.Hits(1);
          });
      CallRecord seen = assertServedWhole(bench);
      assertEquals(words(40), seen.streamed.toString());
      assertEquals(40, seen.tokens);
      assertTrue(bench.events(TrafficEvent.Kind.DECODE_STARTED, "m").size() >= 2);
      bench.awaitIdle();
    }
  }

  @Test
  void anAnswerThatMayRunOnlyOnceFailsWhenItBreaks() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            once(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(bench, f -> f.breakAfter = 7);
      CallRecord seen = bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(Mcp.FAILED, seen.errorCode);
      assertFalse(seen.retryable);
      assertEquals(1, bench.events(TrafficEvent.Kind.DECODE_STARTED, "m").size());
      bench.awaitIdle();
    }
  }

  @Test
  void aWriterThatBreaksAfterAToolCallWasRelayed() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      CompletableFuture<McpCall> done =
          bench.begin(
              bench.client(),
              ScenarioFixture.ask(
                  "m", "call the tool stock " + LONG, ToolBehaviour.ANSWER, "stock"),
              call ->
                  faults(
                      bench,
                      f -> {
                        f.breakAfter = 6; // the first leg has four tokens: it is
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
      bench.awaitIdle();
    }
  }

  @Test
  void streamsThatFallSilentMidwayAreBrokenOffAndGoneOnWith() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(
          bench,
          f -> {
            f.stallAfter = 5;
            f.hits = new EngineFaults.Hits(1);
          });
      assertServedWhole(bench);
      bench.awaitIdle();
    }
  }

  // ==== readers and states

  @Test
  void aReaderThatDiesHoldingAState() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w"))) {
      for (String reader : List.of("r1", "r2")) {
        fault(bench, reader, f -> f.dropStates = true);
      }
      CallRecord lost = bench.call(ScenarioFixture.ask("m1", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(lost);
      assertEquals(Mcp.REJECTED, lost.errorCode);
      assertTrue(lost.retryable);
      for (String reader : List.of("r1", "r2")) {
        fault(bench, reader, f -> f.dropStates = false);
      }
      assertEquals(
          words(40), bench.call(ScenarioFixture.ask("m2", LONG, ToolBehaviour.ANSWER)).finalText);
      bench.awaitIdle();
    }
  }

  @Test
  void everyReaderGone() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      bench.fleet.crashEngine("r", 0);
      CallRecord seen = bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(Mcp.REJECTED, seen.errorCode);
      assertTrue(seen.retryable);
    }
  }

  @Test
  void anEmptyListAndOneWhoseServersAllChange() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      bench
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                bench.fleet.catalogue().setEmpty(true);
              });
      assertTrue(bench.fleet.awaitServers(ScenarioFixture.GATEWAY, 0, 5_000));
      assertEquals(
          Mcp.REJECTED,
          bench.call(ScenarioFixture.ask("m1", LONG, ToolBehaviour.ANSWER)).errorCode);
      bench.fleet.crashEngine("r", 0);
      bench.fleet.crashEngine("w", 0);
      bench.fleet.addEngine(ScenarioFixture.reader("r9"));
      bench.fleet.addEngine(ScenarioFixture.writer("w9"));
      bench
          .fleet
          .emulators()
          .invokeAndWait(
              () -> {
                bench.fleet.catalogue().setEmpty(false);
              });
      assertTrue(bench.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 5_000));
      assertEquals(
          words(40), bench.call(ScenarioFixture.ask("m2", LONG, ToolBehaviour.ANSWER)).finalText);
    }
  }

  @Test
  void aDrainToldWhileASendIsUnderWay() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w1"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          bench.begin(
              bench.client(),
              ScenarioFixture.ask("m", "answer in 200 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      bench.fleet.setEngineDraining("w1", true);
      assertEquals(words(200), ScenarioFixture.get(done).record().finalText); // what runs may end
      assertEquals(
          Mcp.REJECTED,
          bench.call(ScenarioFixture.ask("m2", LONG, ToolBehaviour.ANSWER)).errorCode);
      assertEquals(0, bench.events(TrafficEvent.Kind.DECODE, "m2").size());
    }
  }

  // ==== engines that misbehave

  private void misbehaving(Consumer<EngineFaults> fault) {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      faults(bench, fault);
      CallRecord seen = bench.call(ScenarioFixture.ask("m1", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertTrue(
          seen.errorCode == Mcp.REJECTED || seen.errorCode == Mcp.FAILED, "code " + seen.errorCode);
      long took = TimeUnit.MICROSECONDS.toMillis(seen.answeredAtMicros - seen.calledAtMicros);
      assertTrue(took < 2_000, "after " + took + " ms");
      faults(
          bench,
          f -> {
            f.silent = false;
            f.raw = null;
            f.badEvent = null;
          });
      ScenarioFixture.await(
          "service again",
          () ->
              bench
                  .call(ScenarioFixture.ask("m2", LONG, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(words(40)));
      bench.awaitIdle();
    }
  }

  @Test
  void anEngineThatAcceptsAndStaysSilent() {
    misbehaving(f -> f.silent = true);
  }

  @Test
  void anEngineThatSendsHalfAChunk() {
    misbehaving(f -> f.raw = "half".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void anEngineThatSendsMalformedEvents() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fault(bench, "w", f -> f.badEvent = "{\"choices\":[");
      CallRecord seen = bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(
          Mcp.FAILED, seen.errorCode); // some tokens were delivered, and each going-on breaks again
      bench.awaitIdle();
    }
  }

  @Test
  void anEngineThatReportsAnErrorInItsStream() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fault(
          bench,
          "w",
          f -> {
            f.badEvent = "{\"error\":{\"message\":\"out of memory\"}}";
            f.hits = new EngineFaults.Hits(1);
          });
      CallRecord seen = bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER));
      assertOneEnd(seen);
      assertEquals(words(40), seen.finalText);
    }
  }

  // ==== clients

  private void leaves(
      String text,
      ToolBehaviour toolBehaviour,
      java.util.function.Predicate<ScenarioFixture> when) {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            quick(),
            ScenarioFixture.reader("r").withLatencies(60, 1, 5),
            ScenarioFixture.writer("w").withLatencies(60, 60, 5))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      bench.begin(
          bench.client(), ScenarioFixture.ask("m", text, toolBehaviour, "stock"), call::set);
      ScenarioFixture.await("the moment to leave", () -> call.get() != null && when.test(bench));
      bench.clients.loop().execute(call.get()::cancel);
      bench.awaitIdle();
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
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord silent =
          bench.call(
              ScenarioFixture.ask("m1", "call the tool stock", ToolBehaviour.SILENT, "stock"));
      assertOneEnd(silent);
      assertTrue(silent.finalText.contains("[the tool gave no result in time]"), silent.finalText);
      CallRecord twice =
          bench.call(
              ScenarioFixture.ask("m2", "call the tool stock", ToolBehaviour.TWICE, "stock"));
      assertOneEnd(twice);
      assertTrue(twice.finalText.contains("[did-stock]"), twice.finalText);
      CallRecord error =
          bench.call(
              ScenarioFixture.ask("m3", "call the tool stock", ToolBehaviour.ERROR, "stock"));
      assertOneEnd(error);
      assertTrue(error.finalText.contains("[error -32000: the tool failed]"), error.finalText);
      bench.awaitIdle();
    }
  }

  @Test
  void toolsCalledTogetherAreAnsweredInAnyOrder() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord seen =
          bench.call(
              ScenarioFixture.ask(
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
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      McpClient client = bench.client();
      CompletableFuture<McpCall> done =
          bench.begin(
              client,
              ScenarioFixture.ask("m", "answer in 300 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      Gateway gateway = bench.fleet.gateway(ScenarioFixture.GATEWAY);
      CompletableFuture<Void> stopped = gateway.stop();
      assertEquals(words(300), ScenarioFixture.get(done).record().finalText);
      ScenarioFixture.get(stopped);
    }
  }

  @Test
  void aStopCutsWhatTakesTooLong() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            s -> {
              limits(s, 1500);
              ((ObjectNode) s.get("limits")).put("stopWithinMs", 100);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          bench.begin(
              bench.client(),
              ScenarioFixture.ask("m", "answer in 400 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await("tokens", () -> call.get() != null && call.get().record().tokens > 3);
      bench.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      CallRecord seen = ScenarioFixture.get(done).record();
      assertOneEnd(seen);
      assertEquals(Mcp.FAILED, seen.errorCode);
    }
  }

  // ==== many at a time

  @Test
  void moreCallsThanTheGatewayTakes() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            s -> {
              limits(s, 1500);
              ((ObjectNode) s.get("limits")).put("maxCalls", 2);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      McpClient client = bench.client();
      AtomicReference<McpCall> call = new AtomicReference<>();
      final List<CompletableFuture<McpCall>> taken =
          List.of(
              bench.begin(
                  client, ScenarioFixture.ask("m1", "answer in 300 words", ToolBehaviour.ANSWER)),
              bench.begin(
                  client,
                  ScenarioFixture.ask("m2", "answer in 300 words", ToolBehaviour.ANSWER),
                  call::set));
      ScenarioFixture.await(
          "two calls", () -> call.get() != null && call.get().record().tokens > 0);
      CallRecord third =
          ScenarioFixture.get(
                  bench.begin(client, ScenarioFixture.ask("m3", LONG, ToolBehaviour.ANSWER)))
              .record();
      assertEquals(Mcp.LIMIT, third.errorCode);
      assertTrue(third.retryable);
      taken.forEach(t -> assertEquals(words(300), ScenarioFixture.get(t).record().finalText));
    }
  }

  @Test
  void finalAnswersThatRaceTheDeadline() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            s -> {
              limits(s, 60);
              ((ObjectNode) s.at("/classes/0")).put("aimMsPerThousandTokens", 0);
            },
            ScenarioFixture.reader("r").withLatencies(20, 1, 1),
            ScenarioFixture.writer("w")
                .withLatencies(1, 28, 1))) { // a first token after about 60 ms
      McpClient client = bench.client();
      List<CompletableFuture<McpCall>> calls = new java.util.ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(
            bench.begin(
                client, ScenarioFixture.ask("m" + i, "answer in 5 words", ToolBehaviour.ANSWER)));
      }
      for (CompletableFuture<McpCall> call : calls) {
        CallRecord seen = ScenarioFixture.get(call).record();
        assertOneEnd(seen);
        assertTrue(
            seen.served() ? seen.finalText.equals(words(5)) : seen.errorCode <= Mcp.REJECTED,
            seen.finalText);
      }
      bench.awaitIdle();
    }
  }

  @Test
  void pooledConnectionsThatTheirPeerClosedBetweenRequests() {
    try (ScenarioFixture bench =
        new ScenarioFixture(quick(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      assertEquals(
          words(40), bench.call(ScenarioFixture.ask("m1", LONG, ToolBehaviour.ANSWER)).finalText);
      for (String engine : List.of("r", "w")) {
        bench.fleet.crashEngine(engine, 10_000_000); // the list does not hear of it
        bench.fleet.restartEngine(engine);
      }
      ScenarioFixture.await(
          "service",
          () ->
              bench
                  .call(ScenarioFixture.ask("m2", LONG, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(words(40)));
      bench.awaitIdle();
    }
  }

  @Test
  void aClientThatReadsSlowlySlowsItsEngineAndNobodyElse() throws Exception {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            s -> ((ObjectNode) s.at("/classes/0")).put("maxTokens", 10_000),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 0))) {
      String session =
          java.net.http.HttpClient.newHttpClient()
              .send(
                  java.net.http.HttpRequest.newBuilder(
                          java.net.URI.create("http://127.0.0.1:" + bench.port + "/mcp"))
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
        socket.connect(new java.net.InetSocketAddress("127.0.0.1", bench.port));
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
                  bench
                      .fleet
                      .emulators()
                      .invokeAndWait(() -> bench.fleet.engine("w").tokensSent("slow").orElse(-1));
              boolean stands = now > 0 && now == before[0];
              before[0] = now;
              ScenarioFixture.pause(100);
              return stands;
            });
        assertTrue(before[0] < 4000, "all of 32 MB was taken: " + before[0]);
        assertEquals(
            words(40), bench.call(ScenarioFixture.ask("m", LONG, ToolBehaviour.ANSWER)).finalText);
        byte[] all = socket.getInputStream().readAllBytes();
        assertTrue(all.length > 4000 * 8000);
        assertTrue(
            new String(all, all.length - 400, 400, StandardCharsets.UTF_8)
                .contains("\"finishReason\":\"stop\""));
      }
      bench.awaitIdle();
    }
  }

  @Test
  void aGatewayAtItsLimitRefusesEarlyAndRunningStreamsGoOn() {
    try (ScenarioFixture bench =
        new ScenarioFixture(
            s -> {
              s.putObject("overload").put("targetMs", 50).put("intervalMs", 10);
              s.putObject("reporting").put("tickMs", 20).put("intervalMs", 20);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      McpClient client =
          bench.client(); // with a session from before: a gateway at its limit refuses
      // new ones as well
      final CompletableFuture<McpCall> running =
          bench.begin(
              client, ScenarioFixture.ask("running", "answer in 100 words", ToolBehaviour.ANSWER));
      ScenarioFixture.await(
          "it runs", () -> !bench.events(TrafficEvent.Kind.DECODE, "running").isEmpty());
      AtomicBoolean tooMuch = new AtomicBoolean(true);
      for (int i = 0; i < 3; i++) { // work always waits for the context for longer than the target
        keepBusy(bench.fleet.gatewayProcess(ScenarioFixture.GATEWAY), tooMuch);
      }
      AtomicReference<CallRecord> refused = new AtomicReference<>();
      ScenarioFixture.await(
          "a refusal",
          () -> {
            CallRecord seen =
                ScenarioFixture.get(
                        bench.begin(
                            client,
                            ScenarioFixture.ask(
                                "late" + System.nanoTime(),
                                "answer in 1 words",
                                ToolBehaviour.ANSWER)))
                    .record();
            refused.set(seen);
            return seen.errorCode == Mcp.REJECTED
                && bench.events(TrafficEvent.Kind.PREFILL, seen.mark).isEmpty();
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
                      bench.begin(
                          client,
                          ScenarioFixture.ask(
                              "after" + System.nanoTime(),
                              "answer in 1 words",
                              ToolBehaviour.ANSWER)))
                  .record()
                  .served());
      var tally = bench.fleet.stopGateway(ScenarioFixture.GATEWAY).get("tally");
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
