package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the Streamable HTTP transport at the level of single HTTP messages, sent by the JDK's
 * client and over plain sockets.
 */
class McpProtocolTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String ACCEPT_JSON_OR_EVENT_STREAM = "application/json, text/event-stream";
  private static ScenarioFixture fixture;
  private static HttpClient http;

  @BeforeAll
  static void start() {
    fixture =
        new ScenarioFixture(
            settings -> {
              ((ObjectNode) settings.get("front"))
                  .put("maxBodyBytes", 50_000)
                  .put("maxCallsPerSession", 3)
                  .put("resumeWindowMs", 3_000)
                  .put("replayBytes", 4_096)
                  .put("maxSessions", 40)
                  .put("requestTimeoutMs", 500)
                  .putArray("allowedOrigins")
                  .add("http://good.example");
              ((ObjectNode) settings.at("/classes/0")).put("toolTimeoutMs", 1_000);
            },
            ScenarioFixture.reader("r"),
            ScenarioFixture.writer("w"));
    http = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  }

  @AfterAll
  static void stop() {
    fixture.close();
  }

  private static HttpRequest.Builder request(String session, String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fixture.port + "/mcp"))
            .header("Content-Type", "application/json");
    if (session != null) {
      builder.header("Mcp-Session-Id", session);
    }
    boolean hasAccept = false;
    for (int i = 0; i < headers.length; i += 2) {
      builder.setHeader(headers[i], headers[i + 1]);
      hasAccept |= headers[i].equals("Accept");
    }
    return hasAccept ? builder : builder.header("Accept", ACCEPT_JSON_OR_EVENT_STREAM);
  }

  private static HttpResponse<String> post(String session, String body, String... headers) {
    try {
      return http.send(
          request(session, headers).POST(HttpRequest.BodyPublishers.ofString(body)).build(),
          HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static HttpResponse<String> send(HttpRequest request) {
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  private static JsonNode json(String text) {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw new AssertionError(text, e);
    }
  }

  private static String openSession(String version) {
    HttpResponse<String> response =
        post(
            null,
            "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":"
                + "{\"protocolVersion\":\""
                + version
                + "\",\"capabilities\":{},\"clientInfo\":{\"name\":\"t\",\"version\":\"1\"}}}");
    assertEquals(200, response.statusCode(), response.body());
    return response.headers().firstValue("mcp-session-id").orElseThrow();
  }

  private static String call(int id, String prompt, String extraArguments) {
    return "{\"jsonrpc\":\"2.0\",\"id\":"
        + id
        + ",\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\","
        + "\"_meta\":{\"progressToken\":\"p\"},\"arguments\":{\"prompt\":\""
        + prompt
        + "\""
        + extraArguments
        + "}}}";
  }

  /** The messages of a complete event stream. */
  private static List<JsonNode> parseEvents(String stream) {
    List<JsonNode> messages = new ArrayList<>();
    for (String line : stream.split("\n")) {
      if (line.startsWith("data: ") && line.length() > 6) {
        messages.add(json(line.substring(6)));
      }
    }
    return messages;
  }

  @ParameterizedTest
  @CsvSource({
    "2025-11-25,2025-11-25",
    "2025-06-18,2025-06-18",
    "2025-03-26,2025-03-26",
    "1999-01-01,2025-11-25"
  })
  void protocolVersionIsNegotiated(String requested, String negotiated) {
    HttpResponse<String> response =
        post(
            null,
            "{\"jsonrpc\":\"2.0\",\"id\":\"a\",\"method\":\"initialize\",\"params\":"
                + "{\"protocolVersion\":\""
                + requested
                + "\"}}");
    assertEquals(negotiated, json(response.body()).at("/result/protocolVersion").asText());
    assertTrue(response.headers().firstValue("mcp-session-id").orElseThrow().length() >= 32);
  }

  @Test
  void requestsNeedAnOpenSession() {
    String ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}";
    assertEquals(400, post(null, ping).statusCode());
    assertEquals(404, post("never-given", ping).statusCode());
    String session = openSession("2025-06-18");
    assertNotEquals(session, openSession("2025-06-18"));
    assertEquals("{}", json(post(session, ping).body()).get("result").toString());
    assertEquals(400, post(session, ping, "MCP-Protocol-Version", "2024-01-01").statusCode());
    assertEquals(200, post(session, ping, "MCP-Protocol-Version", "2025-06-18").statusCode());
    assertEquals(204, send(request(session).DELETE().build()).statusCode());
    assertEquals(404, post(session, ping).statusCode());
    assertEquals(404, send(request(session).DELETE().build()).statusCode());
  }

  @Test
  void wrongMethodPathOrMediaTypeIsRejected() {
    String ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}";
    HttpResponse<String> put =
        send(request(null).PUT(HttpRequest.BodyPublishers.ofString(ping)).build());
    assertEquals(405, put.statusCode());
    assertEquals("POST, GET, DELETE", put.headers().firstValue("allow").orElse(""));
    assertEquals(415, post(null, ping, "Content-Type", "text/plain").statusCode());
    assertEquals(406, post(null, ping, "Accept", "text/html").statusCode());
    assertEquals(406, send(request(null, "Accept", "application/json").GET().build()).statusCode());
    assertEquals(
        404,
        send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fixture.port + "/x")).build())
            .statusCode());
    assertEquals(413, post(null, "x".repeat(60_000)).statusCode());
  }

  @Test
  void foreignOriginAndHostAreForbidden() throws IOException {
    String ping = "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"}";
    assertEquals(403, post(null, ping, "Origin", "http://evil.example").statusCode());
    assertEquals(
        400,
        post(null, ping, "Origin", "http://good.example")
            .statusCode()); // the origin is accepted; the session id is missing
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.port)) {
      socket
          .getOutputStream()
          .write(
              ("POST /mcp HTTP/1.1\r\n"
                      + "Host: evil.example\r\n"
                      + "Connection: close\r\n"
                      + "Content-Type: application/json\r\n"
                      + "Content-Length: 2\r\n\r\n"
                      + "{}")
                  .getBytes(StandardCharsets.US_ASCII));
      assertTrue(
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
              .startsWith("HTTP/1.1 403"));
    }
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '~',
      quoteCharacter = '`',
      value = {
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"pin ~ 400 ~ -32700",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":5} ~ 400 ~ -32600",
        "[] ~ 400 ~ -32600",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"no/such\"} ~ 200 ~ -32601",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\"} ~ 200 ~ -32602",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"nope\"}}"
            + " ~ 200 ~ -32602",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"arguments\":{\"prompt\":5}}}"
            + " ~ 200 ~ -32602",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"arguments\":{\"prompt\":\"x\",\"max_tokens\":0}}}"
            + " ~ 200 ~ -32602",
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":{}} ~ 400 ~"
            + " -32602",
      })
  void invalidMessagesGetTheSpecifiedErrorCode(String body, int status, int code) {
    HttpResponse<String> response = post(openSession("2025-06-18"), body);
    assertEquals(status, response.statusCode(), response.body());
    assertEquals(code, json(response.body()).at("/error/code").asInt(), response.body());
  }

  @Test
  void invalidArgumentErrorNamesItsPath() {
    String body =
        post(openSession("2025-06-18"), call(1, "x", ",\"tools\":[{\"nam\":\"t\"}]")).body();
    assertTrue(json(body).at("/error/message").asText().contains("/arguments/tools/0"), body);
  }

  @Test
  void toolsAreListedWithTheirSchemas() {
    JsonNode tools =
        json(post(
                    openSession("2025-06-18"),
                    "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"tools/list\"}")
                .body())
            .at("/result/tools");
    assertEquals(2, tools.size());
    assertEquals("sale-lookup", tools.get(0).get("name").asText());
    assertEquals("object", tools.get(0).at("/inputSchema/type").asText());
  }

  @Test
  void notificationsAndUnmatchedResponsesAreAccepted() {
    String session = openSession("2025-06-18");
    assertEquals(
        202,
        post(session, "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/initialized\"}")
            .statusCode());
    assertEquals(
        202, post(session, "{\"jsonrpc\":\"2.0\",\"id\":\"relay-99\",\"result\":{}}").statusCode());
    assertEquals(
        202,
        post(
                session,
                "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":77}}")
            .statusCode());
  }

  @Test
  void tokensAreStreamedBeforeTheResult() {
    HttpResponse<String> response =
        post(openSession("2025-06-18"), call(5, "answer in 3 words", ""));
    assertEquals("text/event-stream", response.headers().firstValue("content-type").orElse(""));
    List<JsonNode> events = parseEvents(response.body());
    assertEquals(4, events.size());
    assertEquals("notifications/progress", events.get(0).get("method").asText());
    assertEquals(1, events.get(0).at("/params/progress").asInt());
    assertEquals(" a0", events.get(0).at("/params/message").asText());
    assertEquals(" a0 a1 a2", events.get(3).at("/result/content/0/text").asText());
    assertEquals(5, events.get(3).get("id").asInt());
  }

  @Test
  void jsonOnlyClientGetsJsonAndCannotOfferTools() {
    HttpResponse<String> response =
        post(
            openSession("2025-06-18"),
            call(5, "answer in 3 words", ""),
            "Accept",
            "application/json");
    assertEquals("application/json", response.headers().firstValue("content-type").orElse(""));
    assertEquals(" a0 a1 a2", json(response.body()).at("/result/content/0/text").asText());
    HttpResponse<String> tools =
        post(
            openSession("2025-06-18"),
            call(5, "x", ",\"tools\":[{\"name\":\"t\"}]"),
            "Accept",
            "application/json");
    assertEquals(-32602, json(tools.body()).at("/error/code").asInt());
  }

  @ParameterizedTest
  @CsvSource({
    "http://localhost:5173,200",
    "https://127.0.0.1:8443,200",
    "http://[::1]:3000,200",
    "http://localhost,200",
    "http://good.example,200",
    "http://bad.example,403",
    "http://localhost.bad.example,403",
    "null,403",
    "http://127.0.0.1.bad.example:80,403",
    "http://localhost:80/x,403",
    "http://192.168.0.7,403"
  })
  void loopbackListenerAcceptsLocalAndAllowedOriginsOnly(String origin, int status) {
    assertEquals(
        status,
        post(
                null,
                "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":"
                    + "{\"protocolVersion\":\"2025-06-18\"}}",
                "Origin",
                origin)
            .statusCode());
  }

  @Test
  void healthAndReadinessProbesReportTheState() {
    for (String path : List.of("/healthz", "/readyz")) {
      HttpRequest.Builder probe =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + fixture.port + path));
      assertEquals(200, send(probe.GET().build()).statusCode());
      assertEquals(405, send(probe.POST(HttpRequest.BodyPublishers.noBody()).build()).statusCode());
    }
    try (ScenarioFixture stopping =
        new ScenarioFixture(
            s -> ((ObjectNode) s.get("limits")).put("stopNoticeMs", 60_000),
            ScenarioFixture.reader("r"))) {
      HttpRequest probe =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + stopping.port + "/readyz"))
              .build();
      assertEquals("no server that writes is ready\n", send(probe).body());
      stopping.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      ScenarioFixture.await(
          "/readyz reports that the gateway stops",
          () -> send(probe).body().equals("the gateway stops\n"));
      assertEquals(503, send(probe).statusCode());
      assertEquals(
          200,
          send(HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + stopping.port + "/mcp"))
                  .header("Content-Type", "application/json")
                  .header("Accept", ACCEPT_JSON_OR_EVENT_STREAM)
                  .POST(
                      HttpRequest.BodyPublishers.ofString(
                          "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\","
                              + "\"params\":{\"protocolVersion\":\"2025-06-18\"}}"))
                  .build())
              .statusCode(),
          "a stopping gateway still opens new sessions");
    }
  }

  @Test
  void batchesAreAcceptedOnlyInVersionsThatHaveThem() {
    String batch =
        "[{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"ping\"},7,{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/list\"}]";
    assertEquals(400, post(openSession("2025-06-18"), batch).statusCode());
    JsonNode answers = json(post(openSession("2025-03-26"), batch).body());
    assertEquals(3, answers.size());
    String calls =
        "[" + call(1, "answer in 2 words", "") + "," + call(2, "answer in 4 words", "") + "]";
    List<JsonNode> events = parseEvents(post(openSession("2025-03-26"), calls).body());
    assertEquals(2, events.stream().filter(e -> e.has("result")).count());
  }

  /** Reads the messages of an event stream one at a time. */
  private static final class EventStreamReader implements AutoCloseable {
    private final InputStream stream;
    private final BufferedReader lines;
    private String lastEventId = "";

    EventStreamReader(HttpRequest request) throws IOException, InterruptedException {
      HttpResponse<InputStream> response =
          http.send(request, HttpResponse.BodyHandlers.ofInputStream());
      assertEquals(200, response.statusCode());
      stream = response.body();
      lines = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
    }

    /** Returns the next message, or null at the end of the stream. */
    JsonNode next() throws IOException {
      for (String line = lines.readLine(); line != null; line = lines.readLine()) {
        if (line.startsWith("id: ")) {
          lastEventId = line.substring(4);
        } else if (line.startsWith("data: ") && line.length() > 6) {
          return json(line.substring(6));
        }
      }
      return null;
    }

    @Override
    public void close() throws IOException {
      stream.close();
    }
  }

  @Test
  void brokenStreamResumesAfterTheLastEvent() throws IOException, InterruptedException {
    String session = openSession("2025-11-25");
    StringBuilder text = new StringBuilder();
    String lastEventId;
    try (EventStreamReader reader =
        new EventStreamReader(
            request(session)
                .POST(HttpRequest.BodyPublishers.ofString(call(9, "answer in 300 words", "")))
                .build())) {
      for (int i = 0; i < 20; i++) {
        text.append(reader.next().at("/params/message").asText());
      }
      lastEventId = reader.lastEventId;
    }
    JsonNode end = null;
    try (EventStreamReader reader =
        new EventStreamReader(request(session, "Last-Event-ID", lastEventId).GET().build())) {
      for (JsonNode message = reader.next(); message != null; message = reader.next()) {
        text.append(message.at("/params/message").asText(""));
        end = message;
      }
    }
    assertEquals(9, end.get("id").asInt());
    assertEquals(end.at("/result/content/0/text").asText(), text.toString());
    assertEquals(404, send(request(session, "Last-Event-ID", "77-1").GET().build()).statusCode());
    assertEquals(
        404, send(request(session, "Last-Event-ID", "nonsense").GET().build()).statusCode());
  }

  @Test
  void toolResultsFromOtherSessionsAreIgnored() throws IOException, InterruptedException {
    String session = openSession("2025-06-18");
    String other = openSession("2025-06-18");
    try (EventStreamReader reader =
        new EventStreamReader(
            request(session)
                .POST(
                    HttpRequest.BodyPublishers.ofString(
                        call(4, "call the tool stock", ",\"tools\":[{\"name\":\"stock\"}]")))
                .build())) {
      JsonNode relayed = reader.next();
      while (!relayed.path("method").asText().equals("tools/call")) {
        relayed = reader.next();
      }
      assertEquals("stock", relayed.at("/params/name").asText());
      String answer =
          "{\"jsonrpc\":\"2.0\",\"id\":"
              + relayed.get("id")
              + ",\"result\":{\"content\":[{\"type\":\"text\","
              + "\"text\":\"%s\"}]}}";
      assertEquals(202, post(other, answer.formatted("theirs")).statusCode());
      assertEquals(202, post(session, answer.formatted("mine")).statusCode());
      assertEquals(202, post(session, answer.formatted("again")).statusCode());
      JsonNode end = relayed;
      for (JsonNode message = reader.next(); message != null; message = reader.next()) {
        end = message;
      }
      String text = end.at("/result/content/0/text").asText();
      assertTrue(
          text.contains("[mine]") && !text.contains("theirs") && !text.contains("again"), text);
    }
  }

  @Test
  void duplicateIdIsRejectedAndCancelledCallGetsNoResponse()
      throws IOException, InterruptedException {
    String session = openSession("2025-06-18");
    try (EventStreamReader reader =
        new EventStreamReader(
            request(session)
                .POST(HttpRequest.BodyPublishers.ofString(call(4, "answer in 400 words", "")))
                .build())) {
      reader.next();
      JsonNode duplicate = json(post(session, call(4, "x", "")).body());
      assertEquals(-32600, duplicate.at("/error/code").asInt());
      post(
          session,
          "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":4}}");
      for (JsonNode message = reader.next(); message != null; message = reader.next()) {
        assertTrue(message.has("method"), message.toString());
      }
    }
    fixture.awaitIdle();
  }

  @Test
  void cancelBeforeItsCallEndsThatCallOnly() throws IOException, InterruptedException {
    String session = openSession("2025-06-18");
    post(
        session,
        "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":9}}");
    JsonNode cancelled = json(post(session, call(9, "#overtaken# answer in 3 words", "")).body());
    assertEquals(Mcp.FAILED, cancelled.at("/error/code").asInt(), cancelled.toString());
    assertTrue(fixture.events(lemondock.emulator.TrafficEvent.Kind.PREFILL, "overtaken").isEmpty());
    assertTrue(post(session, call(9, "answer in 3 words", "")).body().contains(" a0 a1 a2"));
    post(
        session,
        "{\"jsonrpc\":\"2.0\",\"method\":\"notifications/cancelled\",\"params\":{\"requestId\":10}}");
    assertTrue(
        post(session, call(11, "answer in 3 words", "")).body().contains(" a0 a1 a2"),
        "a cancel of id 10 must not end call 11");
  }

  @Test
  void callsPerSessionAreLimited() throws IOException, InterruptedException {
    String session = openSession("2025-06-18");
    List<EventStreamReader> readers = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      EventStreamReader reader =
          new EventStreamReader(
              request(session)
                  .POST(HttpRequest.BodyPublishers.ofString(call(i, "answer in 400 words", "")))
                  .build());
      reader.next();
      readers.add(reader);
    }
    JsonNode fourth = json(post(session, call(10, "x", "")).body());
    assertEquals(-32012, fourth.at("/error/code").asInt());
    assertEquals(204, send(request(session).DELETE().build()).statusCode());
    for (EventStreamReader reader : readers) {
      while (reader.next() != null) {
        assertTrue(true); // messages that were already in transit
      }
      reader.close();
    }
    fixture.awaitIdle();
  }

  @Test
  void secondServerStreamOfASessionReplacesTheFirst() throws IOException, InterruptedException {
    String session = openSession("2025-06-18");
    EventStreamReader first = new EventStreamReader(request(session).GET().build());
    EventStreamReader second = new EventStreamReader(request(session).GET().build());
    assertEquals(null, first.next());
    second.close();
  }

  @Test
  void slowlorisConnectionsTimeOutAndOthersAreServed() throws IOException {
    List<Socket> slow = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), fixture.port);
      socket
          .getOutputStream()
          .write("POST /mcp HTTP/1.1\r\nHost: loc".getBytes(StandardCharsets.US_ASCII));
      slow.add(socket);
    }
    assertEquals(
        " a0 a1 a2",
        parseEvents(post(openSession("2025-06-18"), call(5, "answer in 3 words", "")).body())
            .get(3)
            .at("/result/content/0/text")
            .asText());
    for (Socket socket : slow) {
      socket.setSoTimeout(5_000);
      assertTrue(
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)
              .startsWith("HTTP/1.1 408"));
      socket.close();
    }
  }
}
