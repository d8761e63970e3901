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

  private static ScenarioFixture bench(Consumer<ObjectNode> changes) {
    return bench(4, changes);
  }

  private static ScenarioFixture bench(double tokenMs, Consumer<ObjectNode> changes) {
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

  private static String words(int count) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < count; i++) {
      text.append(" a").append(i);
    }
    return text.toString();
  }

  private static CompletableFuture<McpCall> running(ScenarioFixture bench, int words) {
    AtomicReference<McpCall> call = new AtomicReference<>();
    CompletableFuture<McpCall> done =
        bench.begin(
            bench.client(),
            ScenarioFixture.ask("running", "answer in " + words + " words", ToolBehaviour.ANSWER),
            call::set);
    ScenarioFixture.await("it runs", () -> call.get() != null && call.get().record().tokens > 0);
    return done;
  }

  private static void assertWhole(CompletableFuture<McpCall> call, int words) {
    CallRecord seen = ScenarioFixture.get(call).record();
    assertEquals(words(words), seen.finalText);
    assertEquals(words(words), seen.streamed.toString());
    assertEquals(1, seen.responses);
    assertEquals(0, seen.messagesAfterAnswer);
  }

  /** A process that has as much left as a test says. */
  private static final class Told implements ProcessResources {
    private volatile double memory;
    private volatile double handles;
    private volatile long most = 10_000;
    private volatile boolean stopped;

    /** All of the time, if it says so. */
    @Override
    public long pausedMicros() {
      return stopped ? System.nanoTime() / 1_000 : 0;
    }

    @Override
    public double memoryUsedFraction() {
      return memory;
    }

    @Override
    public double fileHandlesUsedFraction() {
      return handles;
    }

    @Override
    public long maxFileHandles() {
      return most;
    }
  }

  private static ScenarioFixture told(Told told, Consumer<ObjectNode> changes) {
    ScenarioFixture bench = bench(changes);
    bench.fleet.setProcessResources(told);
    bench.fleet.killGateway(ScenarioFixture.GATEWAY);
    bench.fleet.startGateway(ScenarioFixture.GATEWAY);
    assertTrue(bench.fleet.awaitServers(ScenarioFixture.GATEWAY, 2, 10_000));
    return bench;
  }

  @Test
  void aLargeCallIsRefusedAtAGlanceAndItsConnectionGoesOn() throws Exception {
    Told told = new Told();
    try (ScenarioFixture bench =
            told(
                told,
                s -> s.putObject("overload").put("risePerSecond", 100).put("targetMs", 5_000));
        Socket socket = socket(bench, 0)) {
      send(socket, initialize(1));
      String session = whole(socket).replaceAll("(?is).*mcp-session-id: (\\S+).*", "$1");
      told.memory = 0.97;
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
              answer[0] = whole(socket);
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
      told.memory = 0;
      ScenarioFixture.await(
          "service",
          () -> {
            try {
              send(socket, large);
              answer[0] = whole(socket);
            } catch (IOException e) {
              throw new AssertionError(e);
            }
            return answer[0].contains(" a0 a1 a2");
          });
      assertTrue(
          bench
                  .fleet
                  .stopGateway(ScenarioFixture.GATEWAY)
                  .at("/tally/overload/0/refused")
                  .longValue()
              > 0);
    }
  }

  private static String whole(Socket socket) throws IOException {
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
    Told told = new Told();
    told.stopped = stopped;
    try (ScenarioFixture bench =
        told(told, s -> s.putObject("overload").put("targetMs", 20).put("stallMs", 10_000))) {
      bench.awaitIdle();
      EmulatedProcess gateway = bench.fleet.gatewayProcess(ScenarioFixture.GATEWAY);
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      McpClient client = bench.client();
      assertTrue(
          ScenarioFixture.get(
                  bench.begin(
                      client,
                      ScenarioFixture.ask("first", "answer in 2 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      for (int i = 0; i < 20; i++) {
        gateway.loop().execute(() -> ScenarioFixture.pause(150));
        calls.add(
            bench.begin(
                client, ScenarioFixture.ask("p" + i, "answer in 2 words", ToolBehaviour.ANSWER)));
        ScenarioFixture.pause(100);
      }
      calls.forEach(ScenarioFixture::get); // the module may refuse some too, as it is late
      return bench
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
    Told told = new Told();
    try (ScenarioFixture bench =
        told(
            told,
            s ->
                s.putObject("overload")
                    .put("repeatPart", 0)
                    .put("repeatsPerSecond", 0)
                    .put("targetMs", 5_000))) {
      McpClient known = bench.client();
      ToolCallRequest again =
          ScenarioFixture.ask("again", "answer in 1 words", ToolBehaviour.ANSWER);
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
          ScenarioFixture.get(bench.begin(known, repeat)).record().served(),
          "while all is let in there is no budget");
      told.memory = 0.875; // half of what comes may come in
      ScenarioFixture.await(
          "a refusal",
          () ->
              ScenarioFixture.get(
                          bench.begin(
                              known,
                              ScenarioFixture.ask(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record()
                      .errorCode
                  == Mcp.REJECTED);
      ScenarioFixture.await(
          "the counts are judged",
          () -> !ScenarioFixture.get(bench.begin(known, repeat)).record().served());
      int first = 0;
      int again2 = 0;
      for (int i = 0; i < 60; i++) {
        first +=
            ScenarioFixture.get(
                        bench.begin(
                            known,
                            ScenarioFixture.ask(
                                "f" + i, "answer in 1 words", ToolBehaviour.ANSWER)))
                    .record()
                    .served()
                ? 1
                : 0;
        again2 += ScenarioFixture.get(bench.begin(known, repeat)).record().served() ? 1 : 0;
      }
      assertTrue(first > 10, "first tries let in: " + first);
      assertEquals(0, again2, "repeats let in");
    }
  }

  @Test
  void answersThatWaitForToolsTakeNoPlaceOfOthersAndAreBoundedThemselves() {
    try (ScenarioFixture bench =
        bench(
            s -> {
              ((ObjectNode) s.get("limits")).put("maxCalls", 2).put("maxWaitingAnswers", 3);
              s.withArray("classes").forEach(c -> ((ObjectNode) c).put("toolTimeoutMs", 3_000));
            })) {
      List<CompletableFuture<McpCall>> waiting = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        AtomicReference<McpCall> call = new AtomicReference<>();
        waiting.add(
            bench.begin(
                bench.client(),
                ScenarioFixture.ask(
                    "w" + i,
                    "call the tool stock answer in 3 words",
                    ToolBehaviour.SILENT,
                    "stock"),
                call::set));
        ScenarioFixture.await(
            "it waits", () -> call.get() != null && !call.get().record().toolCalls.isEmpty());
      }
      assertTrue(
          bench.call(ScenarioFixture.ask("m", "answer in 3 words", ToolBehaviour.ANSWER)).served(),
          "starved by slow tools");
      CallRecord fourth =
          bench.call(
              ScenarioFixture.ask(
                  "w4", "call the tool stock answer in 3 words", ToolBehaviour.ANSWER, "stock"));
      assertEquals(Mcp.FAILED, fourth.errorCode);
      assertEquals(List.of(), fourth.toolCalls);
      waiting.forEach(w -> assertTrue(ScenarioFixture.get(w).record().served()));
      assertTrue(
          bench
              .call(
                  ScenarioFixture.ask(
                      "w5", "call the tool stock answer in 3 words", ToolBehaviour.ANSWER, "stock"))
              .served());
      bench.awaitIdle();
    }
  }

  @Test
  void clientsLeaveHandlesForEngines() throws IOException {
    Told told = new Told();
    told.most = 100;
    try (ScenarioFixture bench = told(told, s -> {})) {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < 60; i++) {
          sockets.add(socket(bench, 0));
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
    Told told = new Told();
    try (ScenarioFixture bench =
        told(told, s -> s.putObject("overload").put("risePerSecond", 100).put("targetMs", 5_000))) {
      McpClient known = bench.client();
      assertTrue(
          ScenarioFixture.get(
                  bench.begin(
                      known,
                      ScenarioFixture.ask("before", "answer in 1 words", ToolBehaviour.ANSWER)))
              .record()
              .served());
      for (int way = 0; way < 2; way++) {
        final CompletableFuture<McpCall> running = running(bench, 480);
        told.memory = way == 0 ? 0.97 : 0;
        told.handles = way == 0 ? 0 : 0.99;
        AtomicReference<CallRecord> refused = new AtomicReference<>();
        ScenarioFixture.await(
            "a refusal",
            () -> {
              refused.set(
                  ScenarioFixture.get(
                          bench.begin(
                              known,
                              ScenarioFixture.ask(
                                  "m" + System.nanoTime(),
                                  "answer in 1 words",
                                  ToolBehaviour.ANSWER)))
                      .record());
              return refused.get().errorCode == Mcp.REJECTED;
            });
        assertTrue(refused.get().retryable && refused.get().retryAfterMs > 0);
        assertTrue(bench.events(TrafficEvent.Kind.PREFILL, refused.get().mark).isEmpty());
        CompletableFuture<Boolean> session = new CompletableFuture<>();
        bench.clients.loop().execute(() -> bench.client().open(session::complete));
        assertFalse(ScenarioFixture.get(session), "no new sessions either");
        told.memory = 0;
        told.handles = 0;
        assertWhole(running, 480);
        ScenarioFixture.await(
            "all is let in again",
            () ->
                ScenarioFixture.get(
                        bench.begin(
                            known,
                            ScenarioFixture.ask(
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
    try (ScenarioFixture bench =
        bench(20, s -> ((ObjectNode) s.get("engines")).put("maxConnectionsPerServer", 1))) {
      CompletableFuture<McpCall> running = running(bench, 300);
      for (int i = 0; i < 20; i++) { // the writer's one connection is in use
        CallRecord seen =
            bench.call(ScenarioFixture.ask("m" + i, "answer in 3 words", ToolBehaviour.ANSWER));
        assertEquals(1, seen.responses);
        assertTrue(seen.served() || seen.retryable, "code " + seen.errorCode);
      }
      assertWhole(running, 300);
      bench.awaitIdle();
      long moot = 0;
      for (JsonNode row : bench.fleet.stopGateway(ScenarioFixture.GATEWAY).at("/tally/attempts")) {
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

  private static Socket socket(ScenarioFixture bench, int receiveBuffer) throws IOException {
    Socket socket = new Socket();
    if (receiveBuffer > 0) {
      socket.setReceiveBufferSize(receiveBuffer);
    }
    socket.connect(new InetSocketAddress("127.0.0.1", bench.port));
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
    try (ScenarioFixture bench =
        bench(s -> ((ObjectNode) s.get("front")).put("maxSessions", 1_000))) {
      CompletableFuture<McpCall> running = running(bench, 400);
      List<Socket> sockets = new ArrayList<>();
      List<CompletableFuture<int[]>> answers = new ArrayList<>();
      try {
        for (int i = 0; i < 10; i++) {
          Socket socket = socket(bench, 0);
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
            bench
                .fleet
                .gatewayProcess(ScenarioFixture.GATEWAY)
                .invokeAndWait(bench.fleet.gateway(ScenarioFixture.GATEWAY)::sessionCount));
      } finally {
        closeAll(sockets);
      }
      assertWhole(running, 400);
    }
  }

  @Test
  void bodiesAtTheLimitSentSlowlyByHundredsLeaveRoomForSmallOnes() throws Exception {
    try (ScenarioFixture bench =
        bench(
            s ->
                ((ObjectNode) s.get("front"))
                    .put("maxBodyBytes", 1 << 20)
                    .put("maxBodiesBytes", 4 << 20))) {
      McpClient known = bench.client();
      assertTrue(
          ScenarioFixture.get(
                  bench.begin(
                      known,
                      ScenarioFixture.ask("first", "answer in 1 words", ToolBehaviour.ANSWER)))
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
          sockets.add(socket(bench, 0));
          send(sockets.get(i), head + "x".repeat(40_000));
        }
        for (int i = 0; i < 20; i++) {
          CallRecord seen =
              ScenarioFixture.get(
                      bench.begin(
                          known,
                          ScenarioFixture.ask("m" + i, "answer in 3 words", ToolBehaviour.ANSWER)))
                  .record();
          assertTrue(seen.served(), "code " + seen.errorCode + " " + seen.protocolViolations);
        }
      } finally {
        closeAll(sockets);
      }
      bench.awaitIdle();
    }
  }

  @Test
  void manyClientsThatNeverReadThenAllReadAtOnceGetAll() throws Exception {
    try (ScenarioFixture bench =
        bench(
            0.5,
            s -> {
              ((ObjectNode) s.at("/classes/0")).put("maxTokens", LONG).put("deadlineMs", 60_000);
              ((ObjectNode) s.get("front")).put("stallTimeoutMs", 60_000);
            })) {
      List<Socket> sockets = new ArrayList<>();
      try {
        for (int i = 0; i < STILL; i++) {
          Socket socket = socket(bench, 8 * 1024);
          sockets.add(socket);
          send(socket, initialize(1));
          String head = whole(socket);
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
                    bench
                        .fleet
                        .emulators()
                        .invokeAndWait(() -> bench.fleet.engine("w").tokensSent(mark).orElse(-1));
              }
              boolean stands =
                  now > 0
                      && now == before[0]
                      && bench.events(TrafficEvent.Kind.DECODE, null).size() >= STILL;
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
      bench.awaitIdle();
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
    try (ScenarioFixture bench = bench(s -> {})) {
      McpClient client = bench.client();
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      for (int i = 0; i < MANY; i++) { // as many connections, and as many more for the results
        calls.add(
            bench.begin(
                client,
                ScenarioFixture.ask(
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
      bench.awaitIdle();
    }
  }

  @Test
  void aStopWhileAllShardsAreBusyLetsEveryStreamEnd() {
    try (ScenarioFixture bench = bench(s -> {})) {
      List<CompletableFuture<McpCall>> calls = new ArrayList<>();
      for (int i = 0; i < MANY; i++) {
        calls.add(
            bench.begin(
                bench.client(),
                ScenarioFixture.ask("m" + i, "answer in 200 words", ToolBehaviour.ANSWER)));
      }
      ScenarioFixture.await(
          "all run", () -> bench.events(TrafficEvent.Kind.DECODE, null).size() >= MANY);
      CompletableFuture<Void> stopped = bench.fleet.gateway(ScenarioFixture.GATEWAY).stop();
      calls.forEach(c -> assertWhole(c, 200));
      ScenarioFixture.get(stopped);
    }
  }
}
