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
 * Tool calls as clients may treat them: any id, results in any order, turns up to the bound, many
 * that wait at once.
 */
@Timeout(60)
class ToolCallsTest {
  private static final int TURNS = 3;
  private static final int WAITING = 40;
  private static ScenarioFixture fixture;

  @BeforeAll
  static void start() {
    fixture =
        new ScenarioFixture(
            s -> {
              ((ObjectNode) s.get("limits")).put("maxWaitingAnswers", WAITING);
              ((ObjectNode) s.at("/classes/0"))
                  .put("deadlineMs", 20_000)
                  .put("aimMs", 10_000)
                  .put("maxTurns", TURNS)
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
  void anyIdComesBackAsItWas(String id) throws Exception {
    String json = id.replace("LONG", "y".repeat(256));
    ConversationClient client = new ConversationClient(fixture.port);
    try (ConversationClient.Answer answer =
        client.call(
            json, "sale-lookup", "call the tool stock answer in 3 words", List.of("stock"))) {
      JsonNode message = answer.relayed();
      assertEquals(
          ConversationClient.MAPPER.readTree(json), message.at("/params/_meta/lemondock~1call"));
      assertEquals(202, client.post(ConversationClient.result(message.get("id"), "did")));
      JsonNode end = answer.end();
      assertEquals(ConversationClient.MAPPER.readTree(json), end.get("id"));
      assertEquals(" a0 a1 a2 a3[did] b0 b1 b2", end.at("/result/content/0/text").asText());
    }
  }

  @Test
  void aCallWithoutAUsableIdIsRefused() throws Exception {
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
  void resultsInReverseOrderStandWhereTheirCallsDo() throws Exception {
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
        relayed.add(answer.relayed());
      }
      Collections.reverse(relayed);
      for (JsonNode call : relayed) {
        client.post(
            ConversationClient.result(call.get("id"), "did-" + call.at("/params/name").asText()));
      }
      assertEquals(
          " a0 a1 a2 a3[did-t0|did-t1|did-t2|did-t3] b0 b1",
          answer.end().at("/result/content/0/text").asText());
    }
  }

  private static JsonNode turns(int count) throws IOException, InterruptedException {
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
          client.post(ConversationClient.result(message.get("id"), "did"));
        }
      }
      return last;
    }
  }

  @Test
  void turnsGoUpToTheirBoundAndNoFurther() throws Exception {
    assertEquals(TURNS + 1, turns(TURNS).at("/result/structuredContent/turns").asInt());
    JsonNode over = turns(TURNS + 1);
    assertEquals(Mcp.FAILED, over.at("/error/code").asInt(), over.toString());
    assertTrue(
        over.at("/error/message").asText().contains("more than " + TURNS + " turns"),
        over.toString());
  }

  /**
   * The flood of slow tools ends at its bound; whoever calls without tools, or has its result at
   * once, is served beside it.
   */
  @Test
  void answersThatWaitForToolsAreBoundedAndStarveNobody() throws Exception {
    ConversationClient client = new ConversationClient(fixture.port);
    List<ConversationClient.Answer> open = new ArrayList<>();
    List<JsonNode> relayed = new ArrayList<>();
    try {
      for (int i = 0; i < WAITING; i++) {
        ConversationClient.Answer answer =
            client.call(
                Integer.toString(10 + i),
                "sale-lookup",
                "#wait" + i + "# call the tool stock answer in 2 words",
                List.of("stock"));
        open.add(answer);
        relayed.add(answer.relayed());
      }
      JsonNode over;
      try (ConversationClient.Answer answer =
          client.call(
              "90", "sale-lookup", "call the tool stock answer in 2 words", List.of("stock"))) {
        over = answer.end();
      }
      assertEquals(Mcp.FAILED, over.at("/error/code").asInt(), over.toString());
      try (ConversationClient.Answer plain =
          new ConversationClient(fixture.port)
              .call("91", "sale-lookup", "answer in 2 words", List.of())) {
        assertEquals(" a0 a1", plain.end().at("/result/content/0/text").asText());
      }
      List<CompletableFuture<JsonNode>> ends = new ArrayList<>();
      for (int i = WAITING - 1; i >= 0; i--) {
        client.post(ConversationClient.result(relayed.get(i).get("id"), "r" + i));
        ConversationClient.Answer answer = open.get(i);
        ends.add(
            0,
            CompletableFuture.supplyAsync(
                () -> {
                  try {
                    return answer.end();
                  } catch (IOException e) {
                    throw new IllegalStateException(e);
                  }
                }));
      }
      for (int i = 0; i < WAITING; i++) {
        JsonNode end = ScenarioFixture.get(ends.get(i));
        assertNotNull(end);
        assertEquals(" a0 a1 a2 a3[r" + i + "] b0 b1", end.at("/result/content/0/text").asText());
      }
    } finally {
      for (ConversationClient.Answer answer : open) {
        answer.close();
      }
    }
    fixture.awaitIdle();
  }
}
