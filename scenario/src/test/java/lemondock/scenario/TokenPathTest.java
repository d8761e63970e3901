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
 * Tokens that go without the loop, while the loop pauses, resumes, cancels and moves their streams.
 */
class TokenPathTest {
  private static final int WORDS = 300;

  private static ScenarioFixture fixture() {
    return new ScenarioFixture(
        s -> {
          s.put("ioThreads", 3);
          ((ObjectNode) s.get("front")).put("resumeWindowMs", 5_000).put("replayBytes", 65_536);
        },
        EngineSettings.quick("r", "reader", "north", "r1").withLimits(64, 256, 10_000_000),
        EngineSettings.quick("w", "writer", "north", "r1")
            .withLatencies(1, 1, 1)
            .withLimits(256, 256, 10_000_000));
  }

  /**
   * One call whose connection is broken again and again, read at changing pace; gives what was
   * streamed and the result.
   */
  private static String[] broken(ScenarioFixture fixture, int seed)
      throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(seed);
    StringBuilder streamed = new StringBuilder();
    try (ConversationClient.Answer answer =
        new ConversationClient(fixture.port)
            .call("7", "sale-lookup", "#b" + seed + "# answer in " + WORDS + " words", List.of())) {
      answer.readFirstEventId();
      while (true) {
        boolean slow = random.nextInt(4) == 0;
        for (int left = 1 + random.nextInt(120); left > 0; left--) {
          JsonNode message = answer.next();
          if (message.has("result") || message.has("error")) {
            return new String[] {
              streamed.toString(), message.at("/result/content/0/text").asText()
            };
          }
          streamed.append(message.at("/params/message").asText());
          if (slow) {
            Thread.sleep(1);
          }
        }
        answer.resume();
      }
    }
  }

  @Test
  void noTokenIsLostOrRepeatedHoweverOftenConnectionsBreak() throws Exception {
    ExecutorService threads = Executors.newCachedThreadPool();
    try (ScenarioFixture fixture = fixture()) {
      List<CompletableFuture<String[]>> all = new ArrayList<>();
      for (int i = 0; i < 40; i++) {
        int seed = i;
        all.add(
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return broken(fixture, seed);
                  } catch (IOException | InterruptedException e) {
                    throw new IllegalStateException(e);
                  }
                },
                threads));
      }
      for (CompletableFuture<String[]> one : all) {
        String[] seen = ScenarioFixture.get(one);
        assertEquals(ScenarioFixture.answerText(WORDS), seen[0]);
        assertEquals(seen[0], seen[1]);
      }
      fixture.awaitIdle();
    } finally {
      threads.shutdownNow();
    }
  }

  /**
   * A timer that is left to run out holds the call it was for: at 800 calls a second that was all
   * of the memory there was.
   */
  @Test
  void aCallThatHasEndedIsHeldByNoTimer() {
    int calls = 150;
    try (ScenarioFixture fixture =
        new ScenarioFixture(
            s -> {
              ((ObjectNode) s.get("engines")).put("streamSilenceMs", 120_000);
              ((ObjectNode) s.get("front")).put("resumeWindowMs", 0);
              ((ObjectNode) s.at("/classes/0")).put("deadlineMs", 120_000).put("aimMs", 60_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"))) {
      EmulatedProcess node = fixture.fleet.gatewayProcess(ScenarioFixture.GATEWAY);
      assertEquals(
          12,
          ScenarioFixture.get(
                  fixture.begin(
                      fixture.client(),
                      ScenarioFixture.request("warm", "answer in 12 words", ToolBehaviour.ANSWER)))
              .record()
              .tokens);
      fixture.awaitIdle();
      int before = node.invokeAndWait(node.loop()::pendingTimers);
      for (int i = 0; i < calls; i += 10) {
        List<CompletableFuture<McpCall>> some = new ArrayList<>();
        for (int j = 0; j < 10; j++) {
          some.add(
              fixture.begin(
                  fixture.client(),
                  ScenarioFixture.request(
                      "t" + i + "-" + j, "answer in 12 words", ToolBehaviour.ANSWER)));
        }
        some.forEach(one -> assertTrue(ScenarioFixture.get(one).record().served()));
      }
      fixture.awaitIdle();
      int perCall = (node.invokeAndWait(node.loop()::pendingTimers) - before) / calls;
      assertTrue(
          perCall <= 3,
          "the module's own, for its deadline and each attempt, hold a number each; found"
              + " "
              + perCall
              + " a call");
    }
  }

  @Test
  void manyCallsOfOneSessionOnOneStreamEndEachOnceWhileTheirNeighboursAreCancelled()
      throws Exception {
    try (ScenarioFixture fixture = fixture()) {
      List<CompletableFuture<McpCall>> kept = new ArrayList<>();
      SplittableRandom random = new SplittableRandom(3);
      for (int i = 0; i < 80; i++) {
        boolean leaves = i % 2 == 1;
        long after = random.nextLong(150_000);
        CompletableFuture<McpCall> done =
            fixture.begin(
                fixture.client(),
                ScenarioFixture.request("s" + i, "answer in 100 words", ToolBehaviour.ANSWER),
                call -> {
                  if (leaves) {
                    fixture.clients.loop().schedule(after, call::cancel);
                  }
                });
        if (!leaves) {
          kept.add(done);
        }
      }
      for (CompletableFuture<McpCall> one : kept) {
        CallRecord seen = ScenarioFixture.get(one).record();
        assertTrue(seen.served(), seen.mark);
        assertEquals(ScenarioFixture.answerText(100), seen.streamed.toString());
        assertEquals(1, seen.responses);
        assertEquals(0, seen.messagesAfterAnswer);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void aTokenGoesOutWhenItComesAndNotWithALaterOne() throws Exception {
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
            "the third of eight tokens came only with the end");
      }
    }
  }
}
