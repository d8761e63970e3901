package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import org.junit.jupiter.api.Test;

/**
 * Tokens that bypass the event loop on their way to the client, while the event loop pauses,
 * resumes, cancels and moves their streams.
 */
class TokenPathTest {
  private static final int ANSWER_WORDS = 300;

  private static ScenarioFixture fixture() {
    return new ScenarioFixture(
        settings -> {
          settings.put("ioThreads", 3);
          ((ObjectNode) settings.get("front"))
              .put("resumeWindowMs", 5_000)
              .put("replayBytes", 65_536);
        },
        EngineSettings.quick("r", "reader", "north", "r1").withLimits(64, 256, 10_000_000),
        EngineSettings.quick("w", "writer", "north", "r1")
            .withLatencies(1, 1, 1)
            .withLimits(256, 256, 10_000_000));
  }

  /**
   * Makes one call; the client reads the stream at a changing pace, and repeatedly closes its
   * connection and resumes the stream. Returns the streamed text and the text of the result.
   */
  private static String[] callWithReconnects(ScenarioFixture fixture, int seed)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder streamed = new StringBuilder();
    try (ConversationClient.Answer answer =
        new ConversationClient(fixture.port)
            .call(
                "7",
                "sale-lookup",
                "#b" + seed + "# answer in " + ANSWER_WORDS + " words",
                List.of())) {
      answer.readFirstEventId();
      while (true) {
        boolean isSlow = random.nextInt(4) == 0;
        for (int remaining = 1 + random.nextInt(120); remaining > 0; remaining--) {
          JsonNode message = answer.next();
          if (message.has("result") || message.has("error")) {
            return new String[] {
              streamed.toString(), message.at("/result/content/0/text").asText()
            };
          }
          streamed.append(message.at("/params/message").asText());
          if (isSlow) {
            Thread.sleep(1);
          }
        }
        answer.resume();
      }
    }
  }

  @Test
  void reconnectingClientsGetEachTokenExactlyOnce() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    try (ScenarioFixture fixture = fixture()) {
      List<CompletableFuture<String[]>> calls = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        int seed = i;
        calls.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return callWithReconnects(fixture, seed);
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                  }
                },
                threads));
      }
      for (CompletableFuture<String[]> call : calls) {
        String[] streamedAndResult = ScenarioFixture.get(call);
        assertEquals(ScenarioFixture.answerText(ANSWER_WORDS), streamedAndResult[0]);
        assertEquals(streamedAndResult[0], streamedAndResult[1]);
      }
      fixture.awaitIdle();
    } finally {
      threads.shutdownNow();
    }
  }

  /**
   * A timer that is not cancelled keeps its call reachable until the timer expires. At 800 calls a
   * second such timers used up all memory.
   */
  @Test
  void endedCallsLeaveNoTimersThatReferToThem() {
    int calls = 150;
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            settings -> {
              ((ObjectNode) settings.get("engines")).put("streamSilenceMs", 120_000);
              ((ObjectNode) settings.get("front")).put("resumeWindowMs", 0);
              ((ObjectNode) settings.at("/classes/0"))
                  .put("deadlineMs", 120_000)
                  .put("aimMs", 60_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      EmulatedProcess gatewayProcess = fixture.fleet.gatewayProcess(ScenarioFixture.GATEWAY);
      assertEquals(
          12,
          ScenarioFixture.get(
                  fixture.begin(
                      fixture.client(),
                      ScenarioFixture.request("warm", "answer in 12 words", ToolBehaviour.ANSWER)))
              .record()
              .tokens);
      fixture.awaitIdle();
      int timersBefore = gatewayProcess.invokeAndWait(gatewayProcess.loop()::pendingTimers);
      for (int i = 0; i < calls; i += 10) {
        List<CompletableFuture<McpCall>> batch = new ArrayList<>();
        for (int j = 0; j < 10; j++) {
          batch.add(
              fixture.begin(
                  fixture.client(),
                  ScenarioFixture.request(
                      "t" + i + "-" + j, "answer in 12 words", ToolBehaviour.ANSWER)));
        }
        batch.forEach(call -> assertTrue(ScenarioFixture.get(call).record().served()));
      }
      fixture.awaitIdle();
      int timersPerCall =
          (gatewayProcess.invokeAndWait(gatewayProcess.loop()::pendingTimers) - timersBefore)
              / calls;
      assertTrue(
          timersPerCall <= 3,
          "expected at most 3 pending timers per ended call: the routing module's own, for the"
              + " deadline and each attempt, which refer to the call by number only; found "
              + timersPerCall);
    }
  }

  @Test
  void callsEndOnceWhileConcurrentCallsAreCancelled() throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      List<CompletableFuture<McpCall>> keptCalls = new ArrayList<>();
      SplittableRandom random = new SplittableRandom(3);
      for (int i = 0; i < 80; i++) {
        boolean isCancelled = i % 2 == 1;
        long cancelAfterMicros = random.nextLong(150_000);
        CompletableFuture<McpCall> done =
            fixture.begin(
                fixture.client(),
                ScenarioFixture.request("s" + i, "answer in 100 words", ToolBehaviour.ANSWER),
                call -> {
                  if (isCancelled) {
                    fixture.clients.loop().schedule(cancelAfterMicros, call::cancel);
                  }
                });
        if (!isCancelled) {
          keptCalls.add(done);
        }
      }
      for (CompletableFuture<McpCall> call : keptCalls) {
        CallRecord record = ScenarioFixture.get(call).record();
        assertTrue(record.served(), record.mark);
        assertEquals(ScenarioFixture.answerText(100), record.streamed.toString());
        assertEquals(1, record.responses);
        assertEquals(0, record.messagesAfterAnswer);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void tokensAreSentOnArrivalAndNotWithLaterOnes() throws Exception {
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {},
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w").withLatencies(1, 1, 250))) {
      try (ConversationClient.Answer answer =
          new ConversationClient(fixture.port)
              .call("1", "sale-lookup", "#slow# answer in 8 words", List.of())) {
        for (int tokens = 0; tokens < 3; tokens++) {
          assertEquals("notifications/progress", answer.next().path("method").asText());
        }
        assertTrue(
            fixture.events(TrafficEvent.Kind.ANSWERED, "slow").stream()
                .noneMatch(e -> e.detail().equals("write")),
            "the client received the third of eight tokens only after the engine had ended the"
                + " answer");
      }
    }
  }
}
