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

/** A gateway that runs out of its own resources, or that many clients overload at once. */
class GatewayOverloadTest {
  private static final int CONCURRENT_CALLS = 60;
  private static final int NON_READING_CLIENTS = 8;

  /**
   * An answer of this many words of 8,000 letters does not fit into the system's socket buffers on
   * both sides of the gateway.
   */
  private static final int LONG_ANSWER_WORDS = 2_000;

  private static ScenarioFixture fixture(Consumer<ObjectNode> changes) {
    return fixture(4, changes);
  }

  private static ScenarioFixture fixture(double tokenMs, Consumer<ObjectNode> changes) {
    return new ScenarioFixture(
        settings -> {
          settings.put("ioThreads", 3);
          settings
              .withArray("classes")
              .forEach(
                  requestClass ->
                      ((ObjectNode) requestClass).put("aimMs", 20_000).put("deadlineMs", 60_000));
          changes.accept(settings);
        },
        EngineSettings.quick("r", "reader", "north", "r1").withLimits(64, 256, 10_000_000),
        EngineSettings.quick("w", "writer", "north", "r1")
            .withLatencies(1, 1, tokenMs)
            .withLimits(256, 256, 10_000_000));
  }

  /** Starts a call and waits for its first token; the future completes when the call ends. */
  private static CompletableFuture<McpCall> startRunningCall(ScenarioFixture fixture, int words) {
    AtomicReference<McpCall> call = new AtomicReference<>();
    CompletableFuture<McpCall> done =
        fixture.begin(
            fixture.client(),
            ScenarioFixture.request(
                "running", "answer in " + words + " words", ToolBehaviour.ANSWER),
            call::set);
    ScenarioFixture.await(
        "the call streams tokens", () -> call.get() != null && call.get().record().tokens > 0);
    return done;
  }

  private static void assertComplete(CompletableFuture<McpCall> call, int words) {
    CallRecord record = ScenarioFixture.get(call).record();
    assertEquals(ScenarioFixture.answerText(words), record.finalText);
    assertEquals(ScenarioFixture.answerText(words), record.streamed.toString());
    assertEquals(1, record.responses);
    assertEquals(0, record.messagesAfterAnswer);
  }

  /** Process resources whose use a test sets. Any thread. */
  private static final class ConfiguredResources implements ProcessResources {
    private volatile double memoryUsed;
    private volatile double handlesUsed;
    private volatile long maxHandles = 10_000;
    private volatile boolean isStopped;

    /**
     * Reports the current time as the paused time while {@code isStopped} is set, as if the process
     * had been stopped all the time; else 0.
     */
    @Override
    public long pausedMicros() {
      return isStopped ? System.nanoTime() / 1_000 : 0;
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

  /** Restarts the gateway of a fixture so that it uses the given resources. */
  private static ScenarioFixture fixtureWithResources(
      ConfiguredResources resources, Consumer<ObjectNode> changes) {
    ScenarioFixture fixture = fixture(changes);
    fixture.fleet.setProcessResources(resources);
    fixture.fleet.killGateway(ScenarioFixture.GATEWAY);
    fixture.fleet.startGateway(ScenarioFixture.GATEWAY);
    assertTrue(fixture.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 10_000));
    return fixture;
  }

  @Test
  void largeCallIsRejectedEarlyAndItsConnectionStaysOpen() throws Exception {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
            fixtureWithResources(
                resources,
                settings ->
                    settings
                        .putObject("overload")
                        .put("risePerSecond", 100)
                        .put("targetMs", 5_000));
        Socket socket = socket(fixture, 0)) {
      send(socket, initialize(1));
      String session = readResponse(socket).replaceAll("(?is).*mcp-session-id: (\\S+).*", "$1");
      resources.memoryUsed = 0.97;
      String largeCall =
          post(
                  session,
                  "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\",\"arguments\":{\"prompt\":\"#large#"
                      + " answer in 3 words "
                      + "x ".repeat(2_000)
                      + "\"}}}")
              .replace("application/json, text/event-stream", "application/json");
      String[] answer = new String[1];
      ScenarioFixture.await(
          "the gateway rejects a call",
          () -> {
            try {
              send(socket, largeCall);
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
          "the gateway serves the call",
          () -> {
            try {
              send(socket, largeCall);
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

  /**
   * Makes calls while the gateway's event loop is repeatedly blocked for 150 ms. Returns the number
   * of calls that its load shedding rejected.
   */
  private static long countRejectedWhileLoopIsBlocked(boolean isStopped) {
    ConfiguredResources resources = new ConfiguredResources();
    resources.isStopped = isStopped;
    try (ScenarioFixture fixture =
        fixtureWithResources(
            resources,
            settings ->
                settings.putObject("overload").put("targetMs", 20).put("stallMs", 10_000))) {
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
      // The routing module may reject some calls too, because they reach it late.
      calls.forEach(ScenarioFixture::get);
      return fixture
          .fleet
          .stopGateway(ScenarioFixture.GATEWAY)
          .at("/tally/overload/0/refused")
          .longValue();
    }
  }

  @Test
  void queueDelayWhileTheProcessIsStoppedIsNotOverload() {
    assertTrue(
        countRejectedWhileLoopIsBlocked(false) > 0,
        "a blocked event loop must count as overload while the process runs");
    assertEquals(0, countRejectedWhileLoopIsBlocked(true));
  }

  @Test
  void retriesAreLimitedByABudgetWhileCallsAreRejected() {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
        fixtureWithResources(
            resources,
            settings ->
                settings
                    .putObject("overload")
                    .put("repeatPart", 0)
                    .put("repeatsPerSecond", 0)
                    .put("targetMs", 5_000))) {
      McpClient openClient = fixture.client();
      ToolCallRequest firstAttempt =
          ScenarioFixture.request("again", "answer in 1 words", ToolBehaviour.ANSWER);
      ToolCallRequest retry =
          new ToolCallRequest(
              firstAttempt.tool(),
              firstAttempt.classId(),
              firstAttempt.messages(),
              firstAttempt.conversation(),
              firstAttempt.tools(),
              firstAttempt.toolBehaviour(),
              firstAttempt.toolDelayMicros(),
              firstAttempt.maxTokens(),
              firstAttempt.mark(),
              true);
      assertTrue(
          ScenarioFixture.get(fixture.begin(openClient, retry)).record().served(),
          "retries must not be limited while the gateway admits all calls");
      resources.memoryUsed = 0.875; // half of the calls are admitted
      ScenarioFixture.await(
          "the gateway rejects a call",
          () ->
              ScenarioFixture.get(
                          fixture.begin(
                              openClient,
                              ScenarioFixture.request(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record()
                      .errorCode
                  == Mcp.REJECTED);
      ScenarioFixture.await(
          "the retry budget is enforced",
          () -> !ScenarioFixture.get(fixture.begin(openClient, retry)).record().served());
      int firstAttemptsServed = 0;
      int retriesServed = 0;
      for (int i = 0; i < 60; i++) {
        firstAttemptsServed +=
            ScenarioFixture.get(
                        fixture.begin(
                            openClient,
                            ScenarioFixture.request(
                                "f" + i, "answer in 1 words", ToolBehaviour.ANSWER)))
                    .record()
                    .served()
                ? 1
                : 0;
        retriesServed +=
            ScenarioFixture.get(fixture.begin(openClient, retry)).record().served() ? 1 : 0;
      }
      assertTrue(
          firstAttemptsServed > 10,
          "first attempts served, expected more than 10: " + firstAttemptsServed);
      assertEquals(0, retriesServed, "retries served");
    }
  }

  @Test
  void answersWaitingForToolsAreBoundedAndBlockNoOtherCalls() {
    try (ScenarioFixture fixture =
        fixture(
            settings -> {
              ((ObjectNode) settings.get("limits")).put("maxCalls", 2).put("maxWaitingAnswers", 3);
              settings
                  .withArray("classes")
                  .forEach(requestClass -> ((ObjectNode) requestClass).put("toolTimeoutMs", 3_000));
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
            "the answer waits for its tool",
            () -> call.get() != null && !call.get().record().toolCalls.isEmpty());
      }
      assertTrue(
          fixture
              .call(ScenarioFixture.request("m", "answer in 3 words", ToolBehaviour.ANSWER))
              .served(),
          "a call is not served while other answers wait for their tools");
      CallRecord fourthWaiting =
          fixture.call(
              ScenarioFixture.request(
                  "w4", "call the tool stock answer in 3 words", ToolBehaviour.ANSWER, "stock"));
      assertEquals(Mcp.FAILED, fourthWaiting.errorCode);
      assertEquals(List.of(), fourthWaiting.toolCalls);
      waiting.forEach(call -> assertTrue(ScenarioFixture.get(call).record().served()));
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
  void clientConnectionsLeaveFileHandlesForEngines() throws IOException {
    ConfiguredResources resources = new ConfiguredResources();
    resources.maxHandles = 100;
    try (ScenarioFixture fixture = fixtureWithResources(resources, settings -> {})) {
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
        assertEquals(
            10, closed, "connections closed of 60, when the process may have 100 file handles");
      } finally {
        closeAll(sockets);
      }
    }
  }

  @Test
  void highMemoryOrHandleUseRejectsNewCallsAndStreamsComplete() {
    ConfiguredResources resources = new ConfiguredResources();
    try (ScenarioFixture fixture =
        fixtureWithResources(
            resources,
            settings ->
                settings.putObject("overload").put("risePerSecond", 100).put("targetMs", 5_000))) {
      McpClient openClient = fixture.client();
      assertTrue(
          ScenarioFixture.get(
                  fixture.begin(
                      openClient,
                      ScenarioFixture.request("before", "answer in 1 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      for (int resource = 0; resource < 2; resource++) {
        final CompletableFuture<McpCall> running = startRunningCall(fixture, 480);
        resources.memoryUsed = resource == 0 ? 0.97 : 0;
        resources.handlesUsed = resource == 0 ? 0 : 0.99;
        AtomicReference<CallRecord> rejected = new AtomicReference<>();
        ScenarioFixture.await(
            "the gateway rejects a call",
            () -> {
              rejected.set(
                  ScenarioFixture.get(
                          fixture.begin(
                              openClient,
                              ScenarioFixture.request(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record());
              return rejected.get().errorCode == Mcp.REJECTED;
            });
        assertTrue(rejected.get().retryable && rejected.get().retryAfterMs > 0);
        assertTrue(fixture.events(TrafficEvent.Kind.PREFILL, rejected.get().mark).isEmpty());
        CompletableFuture<Boolean> isSessionOpen = new CompletableFuture<>();
        fixture.clients.loop().execute(() -> fixture.client().open(isSessionOpen::complete));
        assertFalse(
            ScenarioFixture.get(isSessionOpen), "a session was opened while calls are rejected");
        resources.memoryUsed = 0;
        resources.handlesUsed = 0;
        assertComplete(running, 480);
        ScenarioFixture.await(
            "the gateway serves calls again",
            () ->
                ScenarioFixture.get(
                        fixture.begin(
                            openClient,
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
  void gatewayConnectionLimitIsNotCountedAsServerFailure() {
    try (ScenarioFixture fixture =
        fixture(
            20,
            settings -> ((ObjectNode) settings.get("engines")).put("maxConnectionsPerServer", 1))) {
      CompletableFuture<McpCall> running = startRunningCall(fixture, 300);
      for (int i = 0; i < 20; i++) { // the writer's one connection is in use
        CallRecord record =
            fixture.call(
                ScenarioFixture.request("m" + i, "answer in 3 words", ToolBehaviour.ANSWER));
        assertEquals(1, record.responses);
        assertTrue(
            record.served() || record.retryable,
            "neither served nor retryable: error code " + record.errorCode);
      }
      assertComplete(running, 300);
      fixture.awaitIdle();
      long unsentAttempts = 0;
      for (JsonNode row :
          fixture.fleet.stopGateway(ScenarioFixture.GATEWAY).at("/tally/attempts")) {
        assertEquals(0, row.get("connect_failed").longValue(), row.toString());
        unsentAttempts += row.get("moot").longValue();
      }
      assertTrue(unsentAttempts > 0, "no attempt met the limit of one connection per server");
    }
  }

  // ==== clients on plain sockets

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

  /** Reads the given number of responses; returns how many had status 200 and how many 503. */
  private static int[] countStatuses(Socket socket, int count) throws IOException {
    int[] counts = new int[2];
    InputStream in = socket.getInputStream();
    StringBuilder line = new StringBuilder();
    while (counts[0] + counts[1] < count) {
      int nextByte = in.read();
      if (nextByte < 0) {
        throw new IOException(
            "connection closed after "
                + counts[0]
                + " responses with status 200 and "
                + counts[1]
                + " with 503, expected "
                + count);
      }
      line.append((char) nextByte);
      if (line.toString().endsWith("HTTP/1.1 200")) {
        counts[0]++;
        line.setLength(0);
      } else if (line.toString().endsWith("HTTP/1.1 503")) {
        counts[1]++;
        line.setLength(0);
      } else if (line.length() > 12) {
        line.deleteCharAt(0);
      }
    }
    return counts;
  }

  @Test
  void sessionCountIsBoundedAndRunningCallsComplete() throws Exception {
    try (ScenarioFixture fixture =
        fixture(settings -> ((ObjectNode) settings.get("front")).put("maxSessions", 1_000))) {
      CompletableFuture<McpCall> running = startRunningCall(fixture, 400);
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
                      return countStatuses(socket, 500);
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
        int rejected = 0;
        for (CompletableFuture<int[]> answer : answers) {
          opened += ScenarioFixture.get(answer)[0];
          rejected += ScenarioFixture.get(answer)[1];
        }
        assertEquals(5_000, opened + rejected);
        assertTrue(opened > 0 && opened <= 999, "sessions opened, expected 1 to 999: " + opened);
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
  void incompleteLargeBodiesDoNotBlockSmallCalls() throws Exception {
    try (ScenarioFixture fixture =
        fixture(
            settings ->
                ((ObjectNode) settings.get("front"))
                    .put("maxBodyBytes", 1 << 20)
                    .put("maxBodiesBytes", 4 << 20))) {
      McpClient openClient = fixture.client();
      assertTrue(
          ScenarioFixture.get(
                  fixture.begin(
                      openClient,
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
        for (int i = 0; i < 300; i++) { // together far more than maxBodiesBytes
          sockets.add(socket(fixture, 0));
          send(sockets.get(i), head + "x".repeat(40_000));
        }
        for (int i = 0; i < 20; i++) {
          CallRecord record =
              ScenarioFixture.get(
                      fixture.begin(
                          openClient,
                          ScenarioFixture.request(
                              "m" + i, "answer in 3 words", ToolBehaviour.ANSWER)))
                  .record();
          assertTrue(
              record.served(),
              "not served: error code "
                  + record.errorCode
                  + ", protocol violations "
                  + record.protocolViolations);
        }
      } finally {
        closeAll(sockets);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void clientsThatStartReadingLateGetCompleteAnswers() throws Exception {
    try (ScenarioFixture fixture =
        fixture(
            0.5,
            settings -> {
              ((ObjectNode) settings.at("/classes/0"))
                  .put("maxTokens", LONG_ANSWER_WORDS)
                  .put("deadlineMs", 60_000);
              ((ObjectNode) settings.get("front")).put("stallTimeoutMs", 60_000);
            })) {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < NON_READING_CLIENTS; i++) {
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
                      + LONG_ANSWER_WORDS
                      + " words of 8000 letters\"}}}"));
        }
        int[] lastTokensSent = {-1};
        ScenarioFixture.await(
            "every engine stream is stalled by its client",
            () -> {
              int tokensSent = 0;
              for (int i = 0; i < NON_READING_CLIENTS; i++) {
                String mark = "n" + i;
                tokensSent +=
                    fixture
                        .fleet
                        .emulators()
                        .invokeAndWait(() -> fixture.fleet.engine("w").tokensSent(mark).orElse(-1));
              }
              boolean isStalled =
                  tokensSent > 0
                      && tokensSent == lastTokensSent[0]
                      && fixture.events(TrafficEvent.Kind.DECODE, null).size()
                          >= NON_READING_CLIENTS;
              lastTokensSent[0] = tokensSent;
              ScenarioFixture.pause(200);
              return isStalled;
            });
        assertTrue(
            lastTokensSent[0] < NON_READING_CLIENTS * LONG_ANSWER_WORDS,
            "the gateway accepted all tokens though no client reads");
        List<CompletableFuture<Long>> bytesRead = new ArrayList<>();
        for (Socket socket : sockets) {
          bytesRead.add(
              CompletableFuture.supplyAsync(
                  () -> readToEnd(socket), task -> new Thread(task).start()));
        }
        for (CompletableFuture<Long> answerBytes : bytesRead) {
          assertTrue(ScenarioFixture.get(answerBytes) > 8_000L * LONG_ANSWER_WORDS);
        }
      } finally {
        closeAll(sockets);
      }
      fixture.awaitIdle();
    }
  }

  /** Reads up to the end of a chunked response; returns the number of bytes. */
  private static long readToEnd(Socket socket) {
    byte[] buffer = new byte[64 * 1024];
    long totalBytes = 0;
    String tail = "";
    try {
      while (!tail.endsWith("\r\n0\r\n\r\n")) {
        int count = socket.getInputStream().read(buffer);
        if (count < 0) {
          throw new IOException(
              "connection closed before the last chunk, after " + totalBytes + " bytes");
        }
        totalBytes += count;
        tail +=
            new String(
                buffer, Math.max(0, count - 7), Math.min(7, count), StandardCharsets.US_ASCII);
        tail = tail.substring(Math.max(0, tail.length() - 7));
      }
      return totalBytes;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  // ==== shards

  @Test
  void toolResultsArriveOverConnectionsOfAnyShard() {
    try (ScenarioFixture fixture = fixture(settings -> {})) {
      McpClient client = fixture.client();
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      // Uses one connection per call, and as many again for the tool results.
      for (int i = 0; i < CONCURRENT_CALLS; i++) {
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
        CallRecord record = ScenarioFixture.get(call).record();
        assertEquals(2, record.toolCalls.size());
        assertEquals(1, record.responses);
        assertEquals(List.of(), record.protocolViolations);
        assertEquals(record.finalText, record.streamed.toString());
        assertTrue(
            record.finalText.contains("[did-stock]") && record.finalText.contains("[did-price]"),
            record.finalText);
      }
      fixture.awaitIdle();
    }
  }

  @Test
  void shutdownWhileAllShardsAreBusyCompletesEveryStream() {
    try (ScenarioFixture fixture = fixture(settings -> {})) {
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      for (int i = 0; i < CONCURRENT_CALLS; i++) {
        calls.add(
            fixture.begin(
                fixture.client(),
                ScenarioFixture.request("m" + i, "answer in 200 words", ToolBehaviour.ANSWER)));
      }
      ScenarioFixture.await(
          "all calls are being decoded",
          () -> fixture.events(TrafficEvent.Kind.DECODE, null).size() >= CONCURRENT_CALLS);
      CompletableFuture<Void> stopped = fixture.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      calls.forEach(call -> assertComplete(call, 200));
      ScenarioFixture.get(stopped);
    }
  }
}
