package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.ProcessResources;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.Test;

/** A gateway whose own means run out, or that many clients use at a time in the worst way. */
class GatewayOverloadTest {
  private static final int MANY = 60;
  private static final int STILL = 8;

  /** Words of 8,000 letters: more than the system's buffers take on both sides of the gateway. */
  private static final int LONG = 2_000;

  private static ScenarioFixture fixture(Consumer<ObjectNode> changes) {
    return fixture(4, changes);
  }

  private static ScenarioFixture fixture(double tokenMs, Consumer<ObjectNode> changes) {
    return new ScenarioFixture(
        s -> {
          s.put("ioThreads", 3);
          s.withArray("classes")
              .forEach(c -> ((ObjectNode) c).put("aimMs", 20_000).put("deadlineMs", 60_000));
          changes.accept(s);
        },
        EngineSettings.quick("r", "reader", "north", "r1").withLimits(64, 256, 10_000_000),
        EngineSettings.quick("w", "writer", "north", "r1")
            .withLatencies(1, 1, tokenMs)
            .withLimits(256, 256, 10_000_000));
  }

  private static CompletableFuture<McpCall> running(ScenarioFixture fixture, int words) {
    AtomicReference<McpCall> call = new AtomicReference<>();
    CompletableFuture<McpCall> done =
        fixture.begin(
            fixture.client(),
            ScenarioFixture.request(
                "running", "answer in " + words + " words", ToolBehaviour.ANSWER),
            call::set);
    ScenarioFixture.await("it runs", () -> call.get() != null && call.get().record().tokens > 0);
    return done;
  }

  private static void assertComplete(CompletableFuture<McpCall> call, int words) {
    CallRecord seen = ScenarioFixture.get(call).record();
    assertEquals(ScenarioFixture.answerText(words), seen.finalText);
    assertEquals(ScenarioFixture.answerText(words), seen.streamed.toString());
    assertEquals(1, seen.responses);
    assertEquals(0, seen.messagesAfterAnswer);
  }

  /** Resources of a process that are used up as far as a test says. Any thread. */
  private static final class ConfiguredResources implements ProcessResources {
    private volatile double memoryUsed;
    private volatile double handlesUsed;
    private volatile long maxHandles = 10_000;
    private volatile boolean stopped;

    /** All of the time, if it says so. */
    @Override
    public long pausedMicros() {
      return stopped ? System.nanoTime() / 1_000 : 0;
    }

    @Override
    public double memoryUsedFraction() {
      return memoryUsed;
    }

    @Override
    public double fileHandlesUsedFraction() {
      return handlesUsed;
    }

    @Override
    public long maxFileHandles() {
      return maxHandles;
    }
  }

  private static ScenarioFixture fixtureWith(
      ConfiguredResources resources, Consumer<ObjectNode> changes) {
    ScenarioFixture fixture = fixture(changes);
    fixture.fleet.setProcessResources(resources);
    fixture.fleet.killGateway(ScenarioFixture.GATEWAY);
    fixture.fleet.startGateway(ScenarioFixture.GATEWAY);
    assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 10_000));
    return fixture;
  }

  @Test
  void aLargeCallIsRefusedAtAGlanceAndItsConnectionGoesOn() throws Exception {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
            fixtureWith(
                resources,
                s -> s.putObject("overload").put("risePerSecond", 100).put("targetMs", 5_000));
        Socket socket = socket(fixture, 0)) {
      send(socket, initialize(1));
      String session = readResponse(socket).replaceAll("(?is).*mcp-session-id: (\\S+).*", "$1");
      resources.memoryUsed = 0.97;
      String large =
          post(
                  session,
                  "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"arguments\":{\"prompt\":\"#large#"
                      + " answer in 3 words "
                      + "x ".repeat(2_000)
                      + "\"}}}")
              .replace("application/json, text/event-stream", "application/json");
      String[] answer = new String[1];
      ScenarioFixture.await(
          "a refusal",
          () -> {
            try {
              send(socket, large);
              answer[0] = readResponse(socket);
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            return answer[0].startsWith("HTTP/1.1 503");
          });
      assertTrue(
          answer[0].contains("retry-after: ")
              && answer[0].contains("\"code\":-32010")
              && answer[0].contains("\"retryable\":true")
              && answer[0].contains("retryAfterMs"),
          answer[0]);
      resources.memoryUsed = 0;
      ScenarioFixture.await(
          "service",
          () -> {
            try {
              send(socket, large);
              answer[0] = readResponse(socket);
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            return answer[0].contains(" a0 a1 a2");
          });
      assertTrue(
          fixture
                  .fleet
                  .stopGateway(ScenarioFixture.GATEWAY)
                  .at("/tally/overload/0/refused")
                  .longValue()
              > 0);
    }
  }

  private static String readResponse(Socket socket) throws IOException {
    StringBuilder text = new StringBuilder();
    while (text.indexOf("\r\n\r\n") < 0) {
      text.append((char) socket.getInputStream().read());
    }
    int length =
        Integer.parseInt(text.toString().replaceAll("(?is).*content-length: (\\d+).*", "$1"));
    return text + new String(socket.getInputStream().readNBytes(length), StandardCharsets.UTF_8);
  }

  /** Calls while the decision context is taken from the gateway for 150 ms again and again. */
  private static long refusedWhileItWaits(boolean stopped) {
    ConfiguredResources resources = new ConfiguredResources();
    resources.stopped = stopped;
    try (ScenarioFixture fixture =
        fixtureWith(
            resources, s -> s.putObject("overload").put("targetMs", 20).put("stallMs", 10_000))) {
      fixture.awaitIdle();
      EmulatedProcess gateway = fixture.fleet.gatewayProcess(ScenarioFixture.GATEWAY);
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      McpClient client = fixture.client();
      assertTrue(
          ScenarioFixture.get(
                  fixture.begin(
                      client,
                      ScenarioFixture.request("first", "answer in 2 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      for (int i = 0; i < 20; i++) {
        gateway.loop().execute(() -> ScenarioFixture.pause(150));
        calls.add(
            fixture.begin(
                client,
                ScenarioFixture.request("p" + i, "answer in 2 words", ToolBehaviour.ANSWER)));
        ScenarioFixture.pause(100);
      }
      calls.forEach(ScenarioFixture::get); // the module may refuse some too, as it is late
      return fixture
          .fleet
          .stopGateway(ScenarioFixture.GATEWAY)
          .at("/tally/overload/0/refused")
          .longValue();
    }
  }

  @Test
  void aWaitWhileTheProcessIsStoppedIsNoOverload() {
    assertTrue(
        refusedWhileItWaits(false) > 0, "what waits for so long while the process runs is one");
    assertEquals(0, refusedWhileItWaits(true));
  }

  @Test
  void repeatsHaveABudgetWhileTheShareIsCut() {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
        fixtureWith(
            resources,
            s ->
                s.putObject("overload")
                    .put("repeatPart", 0)
                    .put("repeatsPerSecond", 0)
                    .put("targetMs", 5_000))) {
      McpClient known = fixture.client();
      ToolCallRequest again =
          ScenarioFixture.request("again", "answer in 1 words", ToolBehaviour.ANSWER);
      ToolCallRequest repeat =
          new ToolCallRequest(
              again.tool(),
              again.classId(),
              again.messages(),
              again.conversation(),
              again.tools(),
              again.toolBehaviour(),
              again.toolDelayMicros(),
              again.maxTokens(),
              again.mark(),
              true);
      assertTrue(
          ScenarioFixture.get(fixture.begin(known, repeat)).record().served(),
          "while all is let in there is no budget");
      resources.memoryUsed = 0.875; // half of what comes may come in
      ScenarioFixture.await(
          "a refusal",
          () ->
              ScenarioFixture.get(
                          fixture.begin(
                              known,
                              ScenarioFixture.request(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record()
                      .errorCode
                  == Mcp.REJECTED);
      ScenarioFixture.await(
          "the counts are judged",
          () -> !ScenarioFixture.get(fixture.begin(known, repeat)).record().served());
      int firstAttemptsServed = 0;
      int repeatsServed = 0;
      for (int i = 0; i < 60; i++) {
        firstAttemptsServed +=
            ScenarioFixture.get(
                        fixture.begin(
                            known,
                            ScenarioFixture.request(
                                "f" + i, "answer in 1 words", ToolBehaviour.ANSWER)))
                    .record()
                    .served()
                ? 1
                : 0;
        repeatsServed +=
            ScenarioFixture.get(fixture.begin(known, repeat)).record().served() ? 1 : 0;
      }
      assertTrue(firstAttemptsServed > 10, "first tries let in: " + firstAttemptsServed);
      assertEquals(0, repeatsServed, "repeats let in");
    }
  }

  @Test
  void answersThatWaitForToolsTakeNoPlaceOfOthersAndAreBoundedThemselves() {
    try (ScenarioFixture fixture =
        fixture(
            s -> {
              ((ObjectNode) s.get("limits")).put("maxCalls", 2).put("maxWaitingAnswers", 3);
              s.withArray("classes").forEach(c -> ((ObjectNode) c).put("toolTimeoutMs", 3_000));
            })) {
      List<CompletableFuture<McpCall>> waiting = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        AtomicReference<McpCall> call = new AtomicReference<>();
        waiting.add(
            fixture.begin(
                fixture.client(),
                ScenarioFixture.request(
                    "w" + i,
                    "call the tool stock answer in 3 words",
                    ToolBehaviour.SILENT,
                    "stock"),
                call::set));
        ScenarioFixture.await(
            "it waits", () -> call.get() != null && !call.get().record().toolCalls.isEmpty());
      }
      assertTrue(
          fixture
              .call(ScenarioFixture.request("m", "answer in 3 words", ToolBehaviour.ANSWER))
              .served(),
          "starved by slow tools");
      CallRecord fourth =
          fixture.call(
              ScenarioFixture.request(
                  "w4", "call the tool stock answer in 3 words", ToolBehaviour.ANSWER, "stock"));
      assertEquals(Mcp.FAILED, fourth.errorCode);
      assertEquals(List.of(), fourth.toolCalls);
      waiting.forEach(w -> assertTrue(ScenarioFixture.get(w).record().served()));
      assertTrue(
          fixture
              .call(
                  ScenarioFixture.request(
                      "w5", "call the tool stock answer in 3 words", ToolBehaviour.ANSWER, "stock"))
              .served());
      fixture.awaitIdle();
    }
  }

  @Test
  void clientsLeaveHandlesForEngines() throws IOException {
    ConfiguredResources resources = new ConfiguredResources();
    resources.maxHandles = 100;
    try (ScenarioFixture fixture = fixtureWith(resources, s -> {})) {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < 60; i++) {
          sockets.add(socket(fixture, 0));
        }
        int closed = 0;
        for (Socket socket : sockets) {
          try {
            send(socket, "GET /healthz HTTP/1.1\r\nHost: localhost\r\n\r\n");
            closed += socket.getInputStream().read() < 0 ? 1 : 0;
          } catch (IOException e) {
            closed++;
          }
        }
        assertEquals(10, closed, "of sixty, with a hundred handles in all");
      } finally {
        closeAll(sockets);
      }
    }
  }

  @Test
  void memoryOrHandlesNearTheirBoundKeepNewcomersOutAndLetRunningStreamsEnd() {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
        fixtureWith(
            resources,
            s -> s.putObject("overload").put("risePerSecond", 100).put("targetMs", 5_000))) {
      McpClient known = fixture.client();
      assertTrue(
          ScenarioFixture.get(
                  fixture.begin(
                      known,
                      ScenarioFixture.request("before", "answer in 1 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      for (int way = 0; way < 2; way++) {
        final CompletableFuture<McpCall> running = running(fixture, 480);
        resources.memoryUsed = way == 0 ? 0.97 : 0;
        resources.handlesUsed = way == 0 ? 0 : 0.99;
        AtomicReference<CallRecord> refused = new AtomicReference<>();
        ScenarioFixture.await(
            "a refusal",
            () -> {
              refused.set(
                  ScenarioFixture.get(
                          fixture.begin(
                              known,
                              ScenarioFixture.request(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record());
              return refused.get().errorCode == Mcp.REJECTED;
            });
        assertTrue(refused.get().retryable && refused.get().retryAfterMs > 0);
        assertTrue(fixture.events(TrafficEvent.Kind.PREFILL, refused.get().mark).isEmpty());
        CompletableFuture<Boolean> session = new CompletableFuture<>();
        fixture.clients.loop().execute(() -> fixture.client().open(session::complete));
        assertFalse(ScenarioFixture.get(session), "no new sessions either");
        resources.memoryUsed = 0;
        resources.handlesUsed = 0;
        assertComplete(running, 480);
        ScenarioFixture.await(
            "all is let in again",
            () ->
                ScenarioFixture.get(
                        fixture.begin(
                            known,
                            ScenarioFixture.request(
                                "a" + System.nanoTime(),
                                "answer in 1 words",
                                ToolBehaviour.ANSWER)))
                    .record()
                    .served());
      }
    }
  }

  @Test
  void aServerIsNotBlamedForConnectionsThatTheGatewayDoesNotHave() {
    try (ScenarioFixture fixture =
        fixture(20, s -> ((ObjectNode) s.get("engines")).put("maxConnectionsPerServer", 1))) {
      CompletableFuture<McpCall> running = running(fixture, 300);
      for (int i = 0; i < 20; i++) { // the writer's one connection is in use
        CallRecord seen =
            fixture.call(
                ScenarioFixture.request("m" + i, "answer in 3 words", ToolBehaviour.ANSWER));
        assertEquals(1, seen.responses);
        assertTrue(seen.served() || seen.retryable, "code " + seen.errorCode);
      }
      assertComplete(running, 300);
      fixture.awaitIdle();
      long moot = 0;
      for (JsonNode row :
          fixture.fleet.stopGateway(ScenarioFixture.GATEWAY).at("/tally/attempts")) {
        assertEquals(0, row.get("connect_failed").longValue(), row.toString());
        moot += row.get("moot").longValue();
      }
      assertTrue(moot > 0, "the bound was never met");
    }
  }

  // ==== raw clients

  private static String post(String session, String body) {
    return "POST /mcp HTTP/1.1\r\n"
        + "Host: localhost\r\n"
        + "Content-Type: application/json\r\n"
        + "Accept: application/json, text/event-stream\r\n"
        + (session == null ? "" : "Mcp-Session-Id: " + session + "\r\n")
        + "Content-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private static String initialize(int id) {
    return post(
        null,
        "{\"jsonrpc\":\"2.0\",\"id\":"
            + id
            + ",\"method\":\"initialize\",\"params\":{\"protocolVersion\":"
            + "\"2025-06-18\"}}");
  }

  private static Socket socket(ScenarioFixture fixture, int receiveBuffer) throws IOException {
    Socket socket = new Socket();
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(new InetSocketAddress("127.0.0.1", fixture.port));
    socket.setSoTimeout(30_000);
    return socket;
  }

  private static void send(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void closeAll(List<Socket> sockets) throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
  }

  /** Counts answers by their status until so many have come. */
  private static int[] statuses(Socket socket, int count) throws IOException {
    int[] found = new int[2];
    InputStream in = socket.getInputStream();
    StringBuilder line = new StringBuilder();
    while (found[0] + found[1] < count) {
      int c = in.read();
      if (c < 0) {
        throw new IOException("closed after " + found[0] + " and " + found[1]);
      }
      line.append((char) c);
      if (line.toString().endsWith("HTTP/1.1 200")) {
        found[0]++;
        line.setLength(0);
      } else if (line.toString().endsWith("HTTP/1.1 503")) {
        found[1]++;
        line.setLength(0);
      } else if (line.length() > 12) {
        line.deleteCharAt(0);
      }
    }
    return found;
  }

  @Test
  void fiveThousandSessionsAtOnceAreBoundedAndHoldNobodyUp() throws Exception {
    try (ScenarioFixture fixture =
        fixture(s -> ((ObjectNode) s.get("front")).put("maxSessions", 1_000))) {
      CompletableFuture<McpCall> running = running(fixture, 400);
      List<Socket> sockets = new ArrayList<>();
      List<CompletableFuture<int[]>> answers = new ArrayList<>();
      try {
        for (int i = 0; i < 10; i++) {
          Socket socket = socket(fixture, 0);
          sockets.add(socket);
          answers.add(
              CompletableFuture.supplyAsync(
                  () -> {
                    try {
                      return statuses(socket, 500);
                    } catch (IOException e) {
                      throw new IllegalStateException(e);
                    }
                  },
                  task -> new Thread(task).start()));
        }
        for (int i = 0; i < 10; i++) {
          send(sockets.get(i), initialize(i).repeat(500));
        }
        int opened = 0;
        int refused = 0;
        for (CompletableFuture<int[]> answer : answers) {
          opened += ScenarioFixture.get(answer)[0];
          refused += ScenarioFixture.get(answer)[1];
        }
        assertEquals(5_000, opened + refused);
        assertTrue(opened > 0 && opened <= 999, "opened " + opened);
        assertEquals(
            opened + 1,
            fixture
                .fleet
                .gatewayProcess(ScenarioFixture.GATEWAY)
                .invokeAndWait(fixture.fleet.gateway(ScenarioFixture.GATEWAY)::sessionCount));
      } finally {
        closeAll(sockets);
      }
      assertComplete(running, 400);
    }
  }

  @Test
  void bodiesAtTheLimitSentSlowlyByHundredsLeaveRoomForSmallOnes() throws Exception {
    try (ScenarioFixture fixture =
        fixture(
            s ->
                ((ObjectNode) s.get("front"))
                    .put("maxBodyBytes", 1 << 20)
                    .put("maxBodiesBytes", 4 << 20))) {
      McpClient known = fixture.client();
      assertTrue(
          ScenarioFixture.get(
                  fixture.begin(
                      known,
                      ScenarioFixture.request("first", "answer in 1 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      List<Socket> sockets = new ArrayList<>();
      try {
        String head =
            "POST /mcp HTTP/1.1\r\n"
                + "Host: localhost\r\n"
                + "Content-Type: application/json\r\n"
                + "Content-Length: "
                + (1 << 20)
                + "\r\n\r\n";
        for (int i = 0; i < 300; i++) { // together far more than all may hold
          sockets.add(socket(fixture, 0));
          send(sockets.get(i), head + "x".repeat(40_000));
        }
        for (int i = 0; i < 20; i++) {
          CallRecord seen =
              ScenarioFixture.get(
                      fixture.begin(
                          known,
                          ScenarioFixture.request(
                              "m" + i, "answer in 3 words", ToolBehaviour.ANSWER)))
                  .record();
          assertTrue(seen.served(), "code " + seen.errorCode + " " + seen.protocolViolations);
        }
      } finally {
        closeAll(sockets);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void manyClientsThatNeverReadThenAllReadAtOnceGetAll() throws Exception {
    try (ScenarioFixture fixture =
        fixture(
            0.5,
            s -> {
              ((ObjectNode) s.at("/classes/0")).put("maxTokens", LONG).put("deadlineMs", 60_000);
              ((ObjectNode) s.get("front")).put("stallTimeoutMs", 60_000);
            })) {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < STILL; i++) {
          Socket socket = socket(fixture, 8 * 1024);
          sockets.add(socket);
          send(socket, initialize(1));
          String head = readResponse(socket);
          String session = head.replaceAll("(?is).*mcp-session-id: (\\S+).*", "$1");
          send(
              socket,
              post(
                  session,
                  "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{\"name\":"
                      + "\"sale-lookup\",\"_meta\":{\"progressToken\":1},\"arguments\":{\"prompt\":\"#n"
                      + i
                      + "# answer in "
                      + LONG
                      + " words of 8000 letters\"}}}"));
        }
        int[] before = {-1};
        ScenarioFixture.await(
            "all stand still",
            () -> {
              int now = 0;
              for (int i = 0; i < STILL; i++) {
                String mark = "n" + i;
                now +=
                    fixture
                        .fleet
                        .emulators()
                        .invokeAndWait(() -> fixture.fleet.engine("w").tokensSent(mark).orElse(-1));
              }
              boolean stands =
                  now > 0
                      && now == before[0]
                      && fixture.events(TrafficEvent.Kind.DECODE, null).size() >= STILL;
              before[0] = now;
              ScenarioFixture.pause(200);
              return stands;
            });
        assertTrue(before[0] < STILL * LONG, "all was taken");
        List<CompletableFuture<Long>> read = new ArrayList<>();
        for (Socket socket : sockets) {
          read.add(
              CompletableFuture.supplyAsync(
                  () -> readToEnd(socket), task -> new Thread(task).start()));
        }
        for (CompletableFuture<Long> all : read) {
          assertTrue(ScenarioFixture.get(all) > 8_000L * LONG);
        }
      } finally {
        closeAll(sockets);
      }
      fixture.awaitIdle();
    }
  }

  /** Bytes up to the end of a chunked answer. */
  private static long readToEnd(Socket socket) {
    byte[] buffer = new byte[64 * 1024];
    long all = 0;
    String tail = "";
    try {
      while (!tail.endsWith("\r\n0\r\n\r\n")) {
        int count = socket.getInputStream().read(buffer);
        if (count < 0) {
          throw new IOException("broken off after " + all);
        }
        all += count;
        tail +=
            new String(
                buffer, Math.max(0, count - 7), Math.min(7, count), StandardCharsets.US_ASCII);
        tail = tail.substring(Math.max(0, tail.length() - 7));
      }
      return all;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ==== shards

  @Test
  void resultsOfToolsComeOverConnectionsOfAnyShard() {
    try (ScenarioFixture fixture = fixture(s -> {})) {
      McpClient client = fixture.client();
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      for (int i = 0; i < MANY; i++) { // as many connections, and as many more for the results
        calls.add(
            fixture.begin(
                client,
                ScenarioFixture.request(
                    "m" + i,
                    "call the tool stock and then call the tool price answer in" + " 20 words",
                    ToolBehaviour.ANSWER,
                    "stock",
                    "price")));
      }
      for (CompletableFuture<McpCall> call : calls) {
        CallRecord seen = ScenarioFixture.get(call).record();
        assertEquals(2, seen.toolCalls.size());
        assertEquals(1, seen.responses);
        assertEquals(List.of(), seen.protocolViolations);
        assertEquals(seen.finalText, seen.streamed.toString());
        assertTrue(
            seen.finalText.contains("[did-stock]") && seen.finalText.contains("[did-price]"),
            seen.finalText);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void aStopWhileAllShardsAreBusyLetsEveryStreamEnd() {
    try (ScenarioFixture fixture = fixture(s -> {})) {
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      for (int i = 0; i < MANY; i++) {
        calls.add(
            fixture.begin(
                fixture.client(),
                ScenarioFixture.request("m" + i, "answer in 200 words", ToolBehaviour.ANSWER)));
      }
      ScenarioFixture.await(
          "all run", () -> fixture.events(TrafficEvent.Kind.DECODE, null).size() >= MANY);
      CompletableFuture<Void> stopped = fixture.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      calls.forEach(c -> assertComplete(c, 200));
      ScenarioFixture.get(stopped);
    }
  }
}
