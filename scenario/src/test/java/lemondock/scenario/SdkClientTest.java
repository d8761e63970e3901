package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.modelcontextprotocol.client.McpSyncClient;
import io.modelcontextprotocol.client.transport.HttpClientStreamableHttpTransport;
import io.modelcontextprotocol.json.TypeRef;
import io.modelcontextprotocol.spec.McpClientSession;
import io.modelcontextprotocol.spec.McpSchema;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import reactor.core.publisher.Mono;

/** Tests the gateway with the official Java SDK of the Model Context Protocol as the client. */
class SdkClientTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private static HttpClientStreamableHttpTransport transport(ScenarioFixture fixture) {
    return HttpClientStreamableHttpTransport.builder("http://127.0.0.1:" + fixture.port)
        .endpoint("/mcp")
        .build();
  }

  @Test
  void sdkClientListsAndCallsTools() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      // Sorted by progress number, because the SDK delivers notifications on several threads.
      ConcurrentSkipListMap<Double, String> progress = new ConcurrentSkipListMap<>();
      try (McpSyncClient client =
          io.modelcontextprotocol.client.McpClient.sync(transport(fixture))
              .requestTimeout(Duration.ofSeconds(10))
              .progressConsumer(p -> progress.put(p.progress(), p.message()))
              .build()) {
        client.initialize();
        client.ping();
        assertEquals(
            List.of("sale-lookup", "day-close"),
            client.listTools().tools().stream().map(McpSchema.Tool::name).toList());
        McpSchema.CallToolResult result =
            client.callTool(
                McpSchema.CallToolRequest.builder()
                    .name("sale-lookup")
                    .arguments(Map.of("prompt", "answer in 4 words"))
                    .progressToken("t")
                    .build());
        assertEquals(" a0 a1 a2 a3", ((McpSchema.TextContent) result.content().get(0)).text());
        ScenarioFixture.await(
            "all four tokens have arrived as progress",
            () -> String.join("", progress.values()).equals(" a0 a1 a2 a3"));
      }
      fixture.awaitIdle();
    }
  }

  /**
   * Two tool calls in the middle of an answer reach the SDK's session as requests, which the
   * session answers.
   */
  @Test
  void sdkSessionAnswersToolCallsDuringTheStream() {
    try (ScenarioFixture fixture =
        new ScenarioFixture(s -> {}, ScenarioFixture.reader("r"), ScenarioFixture.writer("w"))) {
      ConcurrentLinkedQueue<String> calledTools = new ConcurrentLinkedQueue<>();
      McpClientSession.RequestHandler<Map<String, Object>> handler =
          params -> {
            JsonNode node = MAPPER.valueToTree(params);
            calledTools.add(node.path("name").asText());
            return Mono.just(
                Map.of(
                    "content",
                    List.of(Map.of("type", "text", "text", "the " + node.path("name").asText()))));
          };
      McpClientSession session =
          new McpClientSession(
              Duration.ofSeconds(10),
              transport(fixture),
              Map.of("tools/call", handler),
              Map.of("notifications/progress", params -> Mono.empty()),
              UnaryOperator.identity());
      session
          .sendRequest(
              "initialize",
              Map.of(
                  "protocolVersion",
                  "2025-06-18",
                  "capabilities",
                  Map.of(),
                  "clientInfo",
                  Map.of("name", "sdk", "version", "1")),
              new TypeRef<Map<String, Object>>() {})
          .block();
      session.sendNotification("notifications/initialized", null).block();
      Map<String, Object> result =
          session
              .sendRequest(
                  "tools/call",
                  Map.of(
                      "name",
                      "day-close",
                      "_meta",
                      Map.of("progressToken", 7),
                      "arguments",
                      Map.of(
                          "prompt",
                          "call the tool stock and then call the tool" + " price answer in 3 words",
                          "tools",
                          List.of(Map.of("name", "stock"), Map.of("name", "price")))),
                  new TypeRef<Map<String, Object>>() {})
              .block();
      String text = MAPPER.valueToTree(result).path("content").path(0).path("text").asText();
      assertEquals(" a0 a1 a2 a3[the stock] b0 b1 b2 b3[the price] c0 c1 c2", text);
      assertEquals(List.of("stock", "price"), List.copyOf(calledTools));
      session.close();
      fixture.awaitIdle();
      assertTrue(fixture.fleet.events().size() > 10);
    }
  }
}
