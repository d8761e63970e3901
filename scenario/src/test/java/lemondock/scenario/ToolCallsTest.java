package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tool calls with any valid id, with results in any order, up to the limit of turns, and with many
 * answers that wait for tools at once.
 */
@Timeout(60)
class ToolCallsTest {
  private static final int MAX_TURNS = 3;
  private static final int MAX_WAITING_ANSWERS = 40;
  private static ScenarioFixture fixture;

  @BeforeAll
  static void start() {
    fixture =
        new ScenarioFixture(
            settings -> {
              ((ObjectNode) settings.get("limits")).put("maxWaitingAnswers", MAX_WAITING_ANSWERS);
              ((ObjectNode) settings.at("/classes/0"))
                  .put("deadlineMs", 20_000)
                  .put("aimMs", 10_000)
                  .put("maxTurns", MAX_TURNS)
                  .put("toolTimeoutMs", 20_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"));
  }

  @AfterAll
  static void stop() {
    fixture.close();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "0",
        "-5",
        "9007199254740993",
        "123456789012345678901234567890",
        "\"\"",
        "\"x\\u0000\\n\\\"é😀\"",
        "\"LONG\""
      })
  void anyValidIdIsReturnedUnchanged(String id) throws Exception {
    String json = id.replace("LONG", "y".repeat(256));
    ConversationClient client = new ConversationClient(fixture.port);
    try (ConversationClient.Answer answer =
        client.call(
            json, "sale-lookup", "call the tool stock answer in 3 words", List.of("stock"))) {
      JsonNode message = answer.nextToolCall();
      assertEquals(
          ConversationClient.MAPPER.readTree(json), message.at("/params/_meta/lemondock~1call"));
      assertEquals(202, client.post(ConversationClient.toolResult(message.get("id"), "did")));
      JsonNode end = answer.readToEnd();
      assertEquals(ConversationClient.MAPPER.readTree(json), end.get("id"));
      assertEquals(" a0 a1 a2 a3[did] b0 b1 b2", end.at("/result/content/0/text").asText());
    }
  }

  @Test
  void callWithInvalidIdIsRejected() throws Exception {
    ConversationClient client = new ConversationClient(fixture.port);
    assertEquals(
        400,
        client.post(
            "{\"jsonrpc\":\"2.0\",\"id\":null,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\"}}"));
    assertEquals(
        400,
        client.post(
            "{\"jsonrpc\":\"2.0\",\"id\":\""
                + "y".repeat(257)
                + "\",\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\"}}"));
    assertEquals(
        400,
        client.post(
            "{\"jsonrpc\":\"2.0\",\"id\":{},\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\"}}"));
  }

  @Test
  void resultsInReverseOrderKeepTheOrderOfTheirCalls() throws Exception {
    ConversationClient client = new ConversationClient(fixture.port);
    List<String> tools = List.of("t0", "t1", "t2", "t3");
    try (ConversationClient.Answer answer =
        client.call(
            "1",
            "sale-lookup",
            "call the tools t0 and t1 and t2 and t3 together answer in 2 words",
            tools)) {
      List<JsonNode> relayed = new ArrayList<>();
      while (relayed.size() < tools.size()) {
        relayed.add(answer.nextToolCall());
      }
      Collections.reverse(relayed);
      for (JsonNode call : relayed) {
        client.post(
            ConversationClient.toolResult(
                call.get("id"), "did-" + call.at("/params/name").asText()));
      }
      assertEquals(
          " a0 a1 a2 a3[did-t0|did-t1|did-t2|did-t3] b0 b1",
          answer.readToEnd().at("/result/content/0/text").asText());
    }
  }

  private static JsonNode callWithTurns(int count) throws IOException, InterruptedException {
    ConversationClient client = new ConversationClient(fixture.port);
    try (ConversationClient.Answer answer =
        client.call(
            "1",
            "sale-lookup",
            "call the tool stock ".repeat(count) + "answer in 2 words",
            List.of("stock"))) {
      JsonNode last = null;
      for (JsonNode message = answer.next(); message != null; message = answer.next()) {
        last = message;
        if (message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
          client.post(ConversationClient.toolResult(message.get("id"), "did"));
        }
      }
      return last;
    }
  }

  @Test
  void turnsAreLimited() throws Exception {
    assertEquals(
        MAX_TURNS + 1, callWithTurns(MAX_TURNS).at("/result/structuredContent/turns").asInt());
    JsonNode overLimit = callWithTurns(MAX_TURNS + 1);
    assertEquals(Mcp.FAILED, overLimit.at("/error/code").asInt(), overLimit.toString());
    assertTrue(
        overLimit.at("/error/message").asText().contains("more than " + MAX_TURNS + " turns"),
        overLimit.toString());
  }

  /**
   * Answers that wait for slow tools are limited in number. At the limit, calls without tools are
   * still served, and so are the waiting answers once their results arrive.
   */
  @Test
  void answersWaitingForToolsAreLimitedAndOthersServed() throws Exception {
    ConversationClient client = new ConversationClient(fixture.port);
    List<ConversationClient.Answer> waiting = new ArrayList<>();
    List<JsonNode> relayed = new ArrayList<>();
    try {
      for (int i = 0; i < MAX_WAITING_ANSWERS; i++) {
        ConversationClient.Answer answer =
            client.call(
                Integer.toString(10 + i),
                "sale-lookup",
                "#wait" + i + "# call the tool stock answer in 2 words",
                List.of("stock"));
        waiting.add(answer);
        relayed.add(answer.nextToolCall());
      }
      JsonNode overLimit;
      try (ConversationClient.Answer answer =
          client.call(
              "90", "sale-lookup", "call the tool stock answer in 2 words", List.of("stock"))) {
        overLimit = answer.readToEnd();
      }
      assertEquals(Mcp.FAILED, overLimit.at("/error/code").asInt(), overLimit.toString());
      try (ConversationClient.Answer plain =
          new ConversationClient(fixture.port)
              .call("91", "sale-lookup", "answer in 2 words", List.of())) {
        assertEquals(" a0 a1", plain.readToEnd().at("/result/content/0/text").asText());
      }
      List<CompletableFuture<JsonNode>> ends = new ArrayList<>();
      for (int i = MAX_WAITING_ANSWERS - 1; i >= 0; i--) {
        client.post(ConversationClient.toolResult(relayed.get(i).get("id"), "r" + i));
        ConversationClient.Answer answer = waiting.get(i);
        ends.add(
            0,
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return answer.readToEnd();
                  } catch (IOException e) {
                    throw new IllegalStateException(e);
                  }
                }));
      }
      for (int i = 0; i < MAX_WAITING_ANSWERS; i++) {
        JsonNode end = ScenarioFixture.get(ends.get(i));
        assertNotNull(end);
        assertEquals(" a0 a1 a2 a3[r" + i + "] b0 b1", end.at("/result/content/0/text").asText());
      }
    } finally {
      for (ConversationClient.Answer answer : waiting) {
        answer.close();
      }
    }
    fixture.awaitIdle();
  }
}
