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

/** Each test injects one failure and checks what clients and engines observe on their sockets. */
class GatewayEdgeCasesTest {
  private static final String PROMPT_FOR_40_WORDS = "answer in 40 words";

  /** Sets the deadline and short timeouts, and disables the resumption of broken streams. */
  private static void setTimeouts(ObjectNode settings, double deadlineMs) {
    for (var requestClass : settings.withArray("classes")) {
      ((ObjectNode) requestClass)
          .put("deadlineMs", deadlineMs)
          .put("aimMs", deadlineMs / 3)
          .put("toolTimeoutMs", 300);
    }
    ((ObjectNode) settings.get("engines")).put("streamSilenceMs", 300);
    ((ObjectNode) settings.get("front")).put("resumeWindowMs", 0);
  }

  private static Consumer<ObjectNode> shortTimeouts() {
    return settings -> setTimeouts(settings, 1500);
  }

  /** Short timeouts, and a request class whose calls may run at most once. */
  private static Consumer<ObjectNode> nonIdempotent() {
    return settings -> {
      setTimeouts(settings, 1500);
      ((ObjectNode) settings.at("/classes/0")).put("repeat", "once");
    };
  }

  private static void setFaults(
      ScenarioFixture fixture, String engine, Consumer<EngineFaults> change) {
    fixture
        .fleet
        .emulators()
        .invokeAndWait(
            () -> {
              change.accept(fixture.fleet.engine(engine).faults());
            });
  }

  private static void setFaultsOfAllEngines(
      ScenarioFixture fixture, Consumer<EngineFaults> change) {
    fixture.fleet.engines().forEach(engine -> setFaults(fixture, engine, change));
  }

  private static void assertAnsweredOnce(CallRecord record) {
    assertEquals(1, record.responses);
    assertEquals(0, record.messagesAfterAnswer);
    assertEquals(List.of(), record.protocolViolations);
  }

  /** Makes a call, which must be answered once and with the complete answer. */
  private static CallRecord assertServedComplete(ScenarioFixture fixture) {
    CallRecord record =
        fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
    assertAnsweredOnce(record);
    assertEquals(ScenarioFixture.answerText(40), record.finalText);
    return record;
  }

  // ==== writers

  @Test
  void writerFailureBeforeFirstTokenIsRetried() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      setFaultsOfAllEngines(
          fixture,
          faults -> {
            faults.breakAfterTokens = 0;
            faults.hits = new EngineFaults.Hits(1);
          });
      assertServedComplete(fixture);
      fixture.awaitIdle();
    }
  }

  @Test
  void writerFailureMidStreamIsContinuedByAnotherAttempt() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      setFaultsOfAllEngines(
          fixture,
          faults -> {
            faults.breakAfterTokens = 7;
            faults.hits = new EngineFaults.Hits(1);
          });
      CallRecord record = assertServedComplete(fixture);
      assertEquals(ScenarioFixture.answerText(40), record.streamed.toString());
      assertEquals(40, record.tokens);
      assertTrue(fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m").size() >= 2);
      fixture.awaitIdle();
    }
  }

  @Test
  void nonIdempotentCallFailsWhenItsStreamBreaks() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            nonIdempotent(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      setFaultsOfAllEngines(fixture, f -> f.breakAfterTokens = 7);
      CallRecord record =
          fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(record);
      assertEquals(Mcp.FAILED, record.errorCode);
      assertFalse(record.retryable);
      assertEquals(1, fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m").size());
      fixture.awaitIdle();
    }
  }

  @Test
  void writerFailureAfterRelayedToolCallIsRetried() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request(
                  "m", "call the tool stock " + PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER, "stock"),
              call ->
                  setFaultsOfAllEngines(
                      fixture,
                      faults -> {
                        // The part before the tool call has four tokens, so the part after it
                        // breaks.
                        faults.breakAfterTokens = 6;
                        faults.hits = new EngineFaults.Hits(1);
                      }));
      CallRecord record = ScenarioFixture.get(done).record();
      assertAnsweredOnce(record);
      assertEquals(1, record.toolCalls.size());
      assertTrue(
          record.finalText.startsWith(" a0 a1 a2 a3[did-stock] b0 b1")
              && record.finalText.endsWith(" b39"),
          record.finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void stalledStreamIsCancelledAndContinuedByAnotherAttempt() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      setFaultsOfAllEngines(
          fixture,
          faults -> {
            faults.stallAfterTokens = 5;
            faults.hits = new EngineFaults.Hits(1);
          });
      assertServedComplete(fixture);
      fixture.awaitIdle();
    }
  }

  // ==== readers and reserved states

  @Test
  void callIsRejectedWhenReservedStatesAreLost() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w"))) {
      for (String reader : List.of("r1", "r2")) {
        setFaults(fixture, reader, f -> f.losesStates = true);
      }
      CallRecord withoutState =
          fixture.call(ScenarioFixture.request("m1", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(withoutState);
      assertEquals(Mcp.REJECTED, withoutState.errorCode);
      assertTrue(withoutState.retryable);
      for (String reader : List.of("r1", "r2")) {
        setFaults(fixture, reader, f -> f.losesStates = false);
      }
      assertEquals(
          ScenarioFixture.answerText(40),
          fixture.call(ScenarioFixture.request("m2", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
              .finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void callIsRejectedWhenEveryReaderIsGone() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      fixture.fleet.crashEngine("r", 0);
      CallRecord record =
          fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(record);
      assertEquals(Mcp.REJECTED, record.errorCode);
      assertTrue(record.retryable);
    }
  }

  @Test
  void gatewayFollowsEmptyAndFullyReplacedEndpointLists() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
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
          fixture.call(ScenarioFixture.request("m1", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
              .errorCode);
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
          fixture.call(ScenarioFixture.request("m2", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
              .finalText);
    }
  }

  @Test
  void drainingWriterFinishesItsStreamAndGetsNoNewCalls() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w1"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request("m", "answer in 200 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await(
          "the call streams tokens", () -> call.get() != null && call.get().record().tokens > 3);
      fixture.fleet.setEngineDraining("w1", true);
      // A draining engine finishes its streams.
      assertEquals(ScenarioFixture.answerText(200), ScenarioFixture.get(done).record().finalText);
      assertEquals(
          Mcp.REJECTED,
          fixture.call(ScenarioFixture.request("m2", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
              .errorCode);
      assertEquals(0, fixture.events(TrafficEvent.Kind.DECODE, "m2").size());
    }
  }

  // ==== engines that misbehave

  /** Calls must fail within 2 s while all engines have a fault, and be served after it. */
  private void assertFailsFastAndRecovers(Consumer<EngineFaults> fault) {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r1"),
            ScenarioFixture.reader("r2"),
            ScenarioFixture.writer("w1"),
            ScenarioFixture.writer("w2"))) {
      setFaultsOfAllEngines(fixture, fault);
      CallRecord record =
          fixture.call(ScenarioFixture.request("m1", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(record);
      assertTrue(
          record.errorCode == Mcp.REJECTED || record.errorCode == Mcp.FAILED,
          "expected REJECTED or FAILED, found error code " + record.errorCode);
      long tookMillis =
          TimeUnit.MICROSECONDS.toMillis(record.answeredAtMicros - record.calledAtMicros);
      assertTrue(
          tookMillis < 2_000,
          "the call ended after " + tookMillis + " ms, expected less than 2000");
      setFaultsOfAllEngines(
          fixture,
          faults -> {
            faults.silent = false;
            faults.rawResponse = null;
            faults.malformedEvent = null;
          });
      ScenarioFixture.await(
          "calls are served after the fault",
          () ->
              fixture
                  .call(ScenarioFixture.request("m2", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(ScenarioFixture.answerText(40)));
      fixture.awaitIdle();
    }
  }

  @Test
  void silentEnginesFailCallsFast() {
    assertFailsFastAndRecovers(f -> f.silent = true);
  }

  @Test
  void incompleteEngineResponsesFailCallsFast() {
    assertFailsFastAndRecovers(f -> f.rawResponse = "half".getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void malformedEngineEventsFailTheCall() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      setFaults(fixture, "w", f -> f.malformedEvent = "{\"choices\":[");
      CallRecord record =
          fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(record);
      // Some tokens were delivered, and each continuation fails too.
      assertEquals(Mcp.FAILED, record.errorCode);
      fixture.awaitIdle();
    }
  }

  @Test
  void errorEventInEngineStreamIsRetried() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      setFaults(
          fixture,
          "w",
          faults -> {
            faults.malformedEvent = "{\"error\":{\"message\":\"out of memory\"}}";
            faults.hits = new EngineFaults.Hits(1);
          });
      CallRecord record =
          fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER));
      assertAnsweredOnce(record);
      assertEquals(ScenarioFixture.answerText(40), record.finalText);
    }
  }

  // ==== clients

  /**
   * Cancels a call when the condition holds. No request, call or reserved state may remain, and no
   * response may arrive.
   */
  private void assertCancelledCallIsCleanedUp(
      String text,
      ToolBehaviour toolBehaviour,
      java.util.function.Predicate<ScenarioFixture> shouldCancel) {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(),
            ScenarioFixture.reader("r").withLatencies(60, 1, 5),
            ScenarioFixture.writer("w").withLatencies(60, 60, 5))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      fixture.begin(
          fixture.client(), ScenarioFixture.request("m", text, toolBehaviour, "stock"), call::set);
      ScenarioFixture.await(
          "the call reaches the point of its cancellation",
          () -> call.get() != null && shouldCancel.test(fixture));
      fixture.clients.loop().execute(call.get()::cancel);
      fixture.awaitIdle();
      assertEquals(0, call.get().record().responses);
    }
  }

  @Test
  void clientCancelsBeforeThePrefill() {
    assertCancelledCallIsCleanedUp(PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER, fixture -> true);
  }

  @Test
  void clientCancelsWhileAStateIsReserved() {
    assertCancelledCallIsCleanedUp(
        PROMPT_FOR_40_WORDS,
        ToolBehaviour.ANSWER,
        fixture -> !fixture.events(TrafficEvent.Kind.STATE_RESERVED, "m").isEmpty());
  }

  @Test
  void clientCancelsWhileTokensAreStreamed() {
    assertCancelledCallIsCleanedUp(
        "answer in 400 words",
        ToolBehaviour.ANSWER,
        fixture -> !fixture.events(TrafficEvent.Kind.DECODE_STARTED, "m").isEmpty());
  }

  @Test
  void clientCancelsWhileItsToolCallIsPending() {
    assertCancelledCallIsCleanedUp(
        "call the tool stock",
        ToolBehaviour.SILENT,
        fixture -> fixture.events(TrafficEvent.Kind.ANSWERED, "m").size() == 2);
  }

  @Test
  void callEndsOnceWhenToolIsSilentAnswersTwiceOrFails() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord silent =
          fixture.call(
              ScenarioFixture.request("m1", "call the tool stock", ToolBehaviour.SILENT, "stock"));
      assertAnsweredOnce(silent);
      assertTrue(silent.finalText.contains("[the tool gave no result in time]"), silent.finalText);
      CallRecord twice =
          fixture.call(
              ScenarioFixture.request("m2", "call the tool stock", ToolBehaviour.TWICE, "stock"));
      assertAnsweredOnce(twice);
      assertTrue(twice.finalText.contains("[did-stock]"), twice.finalText);
      CallRecord error =
          fixture.call(
              ScenarioFixture.request("m3", "call the tool stock", ToolBehaviour.ERROR, "stock"));
      assertAnsweredOnce(error);
      assertTrue(error.finalText.contains("[error -32000: the tool failed]"), error.finalText);
      fixture.awaitIdle();
    }
  }

  @Test
  void resultsOfToolsCalledTogetherAreAllPassedOn() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      CallRecord record =
          fixture.call(
              ScenarioFixture.request(
                  "m",
                  "call the tools stock and price together",
                  ToolBehaviour.ANSWER,
                  "stock",
                  "price"));
      assertAnsweredOnce(record);
      assertTrue(record.finalText.contains("[did-stock|did-price]"), record.finalText);
    }
  }

  // ==== shutdown

  @Test
  void shutdownWaitsForRunningStreams() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      McpClient client = fixture.client();
      CompletableFuture<McpCall> done =
          fixture.begin(
              client,
              ScenarioFixture.request("m", "answer in 300 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await(
          "the call streams tokens", () -> call.get() != null && call.get().record().tokens > 3);
      Gateway gateway = fixture.fleet.gateway(ScenarioFixture.GATEWAY);
      CompletableFuture<Void> stopped = gateway.stop();
      assertEquals(ScenarioFixture.answerText(300), ScenarioFixture.get(done).record().finalText);
      ScenarioFixture.get(stopped);
    }
  }

  @Test
  void shutdownFailsCallsThatOutlastItsTimeLimit() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              setTimeouts(settings, 1500);
              ((ObjectNode) settings.get("limits")).put("stopWithinMs", 100);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      AtomicReference<McpCall> call = new AtomicReference<>();
      CompletableFuture<McpCall> done =
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request("m", "answer in 400 words", ToolBehaviour.ANSWER),
              call::set);
      ScenarioFixture.await(
          "the call streams tokens", () -> call.get() != null && call.get().record().tokens > 3);
      fixture.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      CallRecord record = ScenarioFixture.get(done).record();
      assertAnsweredOnce(record);
      assertEquals(Mcp.FAILED, record.errorCode);
    }
  }

  // ==== concurrent calls and connections

  @Test
  void callsAboveTheLimitAreRejectedAsRetryable() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              setTimeouts(settings, 1500);
              ((ObjectNode) settings.get("limits")).put("maxCalls", 2);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      McpClient client = fixture.client();
      AtomicReference<McpCall> call = new AtomicReference<>();
      final List<CompletableFuture<McpCall>> acceptedCalls =
          List.of(
              fixture.begin(
                  client,
                  ScenarioFixture.request("m1", "answer in 300 words", ToolBehaviour.ANSWER)),
              fixture.begin(
                  client,
                  ScenarioFixture.request("m2", "answer in 300 words", ToolBehaviour.ANSWER),
                  call::set));
      ScenarioFixture.await(
          "the second call streams tokens",
          () -> call.get() != null && call.get().record().tokens > 0);
      CallRecord third =
          ScenarioFixture.get(
                  fixture.begin(
                      client,
                      ScenarioFixture.request("m3", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER)))
              .record();
      assertEquals(Mcp.LIMIT, third.errorCode);
      assertTrue(third.retryable);
      acceptedCalls.forEach(
          accepted ->
              assertEquals(
                  ScenarioFixture.answerText(300),
                  ScenarioFixture.get(accepted).record().finalText));
    }
  }

  @Test
  void answersThatRaceTheDeadlineEndOnce() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              setTimeouts(settings, 60);
              ((ObjectNode) settings.at("/classes/0")).put("aimMsPerThousandTokens", 0);
            },
            ScenarioFixture.reader("r").withLatencies(20, 1, 1),
            ScenarioFixture.writer("w").withLatencies(1, 28, 1))) {
      // The first token comes after about 60 ms, at the deadline.
      McpClient client = fixture.client();
      List<CompletableFuture<McpCall>> calls = new java.util.ArrayList<>();
      for (int i = 0; i < 40; i++) {
        calls.add(
            fixture.begin(
                client,
                ScenarioFixture.request("m" + i, "answer in 5 words", ToolBehaviour.ANSWER)));
      }
      for (CompletableFuture<McpCall> call : calls) {
        CallRecord record = ScenarioFixture.get(call).record();
        assertAnsweredOnce(record);
        assertTrue(
            record.served()
                ? record.finalText.equals(ScenarioFixture.answerText(5))
                : record.errorCode <= Mcp.REJECTED,
            record.finalText);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void callsAreServedAfterEnginesClosedPooledConnections() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            shortTimeouts(), ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      assertEquals(
          ScenarioFixture.answerText(40),
          fixture.call(ScenarioFixture.request("m1", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
              .finalText);
      for (String engine : List.of("r", "w")) {
        // The endpoint list keeps the engine for 10 s.
        fixture.fleet.crashEngine(engine, 10_000_000);
        fixture.fleet.restartEngine(engine);
      }
      ScenarioFixture.await(
          "calls are served by the restarted engines",
          () ->
              fixture
                  .call(ScenarioFixture.request("m2", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
                  .finalText
                  .equals(ScenarioFixture.answerText(40)));
      fixture.awaitIdle();
    }
  }

  @Test
  void slowClientSlowsItsEngineStreamAndNoOtherCall() throws Exception {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> ((ObjectNode) settings.at("/classes/0")).put("maxTokens", 10_000),
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
        int[] lastTokensSent = {-2};
        ScenarioFixture.await(
            "the engine's stream is stalled by its client",
            () -> {
              int tokensSent =
                  fixture
                      .fleet
                      .emulators()
                      .invokeAndWait(() -> fixture.fleet.engine("w").tokensSent("slow").orElse(-1));
              boolean isStalled = tokensSent > 0 && tokensSent == lastTokensSent[0];
              lastTokensSent[0] = tokensSent;
              ScenarioFixture.pause(100);
              return isStalled;
            });
        assertTrue(
            lastTokensSent[0] < 4000,
            "the gateway accepted all 4000 tokens (32 MB) though the client reads slowly; tokens"
                + " sent: "
                + lastTokensSent[0]);
        assertEquals(
            ScenarioFixture.answerText(40),
            fixture.call(ScenarioFixture.request("m", PROMPT_FOR_40_WORDS, ToolBehaviour.ANSWER))
                .finalText);
        byte[] response = socket.getInputStream().readAllBytes();
        assertTrue(response.length > 4000 * 8000);
        assertTrue(
            new String(response, response.length - 400, 400, StandardCharsets.UTF_8)
                .contains("\"finishReason\":\"stop\""));
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void overloadedGatewayRejectsEarlyAndRunningCallsComplete() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              settings.putObject("overload").put("targetMs", 50).put("intervalMs", 10);
              settings.putObject("reporting").put("tickMs", 20).put("intervalMs", 20);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 20))) {
      // The client opens its session before the overload, because an overloaded gateway rejects new
      // sessions too.
      McpClient client = fixture.client();
      final CompletableFuture<McpCall> running =
          fixture.begin(
              client,
              ScenarioFixture.request("running", "answer in 100 words", ToolBehaviour.ANSWER));
      ScenarioFixture.await(
          "the call is being decoded",
          () -> !fixture.events(TrafficEvent.Kind.DECODE, "running").isEmpty());
      AtomicBoolean isOverloaded = new AtomicBoolean(true);
      for (int i = 0; i < 3; i++) { // tasks always wait for the event loop longer than targetMs
        keepBusy(fixture.fleet.gatewayProcess(ScenarioFixture.GATEWAY), isOverloaded);
      }
      AtomicReference<CallRecord> rejected = new AtomicReference<>();
      ScenarioFixture.await(
          "the gateway rejects a call before its prefill",
          () -> {
            CallRecord record =
                ScenarioFixture.get(
                        fixture.begin(
                            client,
                            ScenarioFixture.request(
                                "late" + System.nanoTime(),
                                "answer in 1 words",
                                ToolBehaviour.ANSWER)))
                    .record();
            rejected.set(record);
            return record.errorCode == Mcp.REJECTED
                && fixture.events(TrafficEvent.Kind.PREFILL, record.mark).isEmpty();
          });
      isOverloaded.set(false);
      assertTrue(
          rejected.get().retryable && rejected.get().retryAfterMs >= 250,
          "expected a retryable error with retryAfterMs of at least 250, found retryAfterMs "
              + rejected.get().retryAfterMs);
      assertTrue(ScenarioFixture.get(running).record().served());
      ScenarioFixture.await(
          "the gateway serves calls again",
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

  /** Blocks the event loop for 40 ms at a time until the flag is cleared. */
  private static void keepBusy(EmulatedProcess gatewayProcess, AtomicBoolean isOverloaded) {
    gatewayProcess
        .loop()
        .execute(
            () -> {
              spin(40);
              if (isOverloaded.get()) {
                keepBusy(gatewayProcess, isOverloaded);
              }
            });
  }

  private static void spin(long millis) {
    long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (System.nanoTime() < deadlineNanos) {
      Thread.onSpinWait();
    }
  }
}
