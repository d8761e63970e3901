package lemondock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.modelcontextprotocol.client.transport.HttpClientStreamableHttpTransport;
import io.modelcontextprotocol.json.TypeRef;
import io.modelcontextprotocol.spec.McpClientSession;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.emulator.collect.ReceivedReports;
import lemondock.net.nio.LoopbackPort;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import reactor.core.publisher.Mono;

/** Runs the program in separate processes. */
class ProgramTest {
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /**
   * Part of the error of a gateway that rejects a request for its own load, not for its engines'.
   */
  private static final String AT_ITS_LIMIT = "the gateway is at its limit";

  private static final long POLL_MILLIS = 20;

  @TempDir private Path folder;

  private static Process start(String shellPrefix, String... args) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                "sh",
                "-c",
                shellPrefix + "exec \"$0\" \"$@\"",
                ProcessHandle.current().info().command().orElse("java"),
                "-cp",
                System.getProperty("java.class.path"),
                "lemondock.cli.Lemondock"));
    command.addAll(List.of(args));
    return new ProcessBuilder(command).redirectErrorStream(true).start();
  }

  private static String run(int expectedExitCode, String... args)
      throws IOException, InterruptedException {
    Process process = start("", args);
    process.getOutputStream().close();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    assertTrue(process.waitFor(60, TimeUnit.SECONDS));
    assertEquals(expectedExitCode, process.exitValue(), output);
    return output;
  }

  /**
   * Reads output up to the first line with the prefix and returns that line; a background thread
   * reads the rest.
   */
  private static String awaitLine(Process process, String prefix) throws IOException {
    BufferedReader lines =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    StringBuilder otherLines = new StringBuilder();
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.startsWith(prefix)) {
        Thread drain =
            new Thread(
                () -> {
                  try {
                    while (lines.readLine() != null) {
                      Thread.onSpinWait();
                    }
                  } catch (IOException e) {
                    // the process has exited
                  }
                });
        drain.setDaemon(true);
        drain.start();
        return line;
      }
      otherLines.append(line).append('\n');
    }
    throw new AssertionError(
        "the process printed no line starting with " + prefix + ", but\n" + otherLines);
  }

  private static HttpResponse<String> post(String url, String session, String body)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(url))
            .header("Content-Type", "application/json")
            .header("Accept", "application/json, text/event-stream")
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (session != null) {
      request.header("Mcp-Session-Id", session);
    }
    return HTTP.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  /**
   * Opens a session. A gateway that is at its own limit, which may last for a while after it has
   * run out of file descriptors, rejects with 503 and Retry-After; this client then retries after
   * that time, as the protocol requires. Any other response fails the test with its body.
   */
  private static String openSession(String url) throws IOException, InterruptedException {
    HttpResponse<String> response = initialize(url);
    for (long deadlineNanos = deadlineNanosFromNow();
        response.statusCode() == 503 && System.nanoTime() < deadlineNanos;
        response = initialize(url)) {
      String rejection = response.body();
      assertTrue(rejection.contains(AT_ITS_LIMIT), rejection);
      String seconds =
          response
              .headers()
              .firstValue("retry-after")
              .orElseThrow(() -> new AssertionError("no Retry-After header: " + rejection));
      Thread.sleep(TimeUnit.SECONDS.toMillis(Long.parseLong(seconds)));
    }
    assertEquals(200, response.statusCode(), response.body());
    return response.headers().firstValue("mcp-session-id").orElseThrow();
  }

  private static HttpResponse<String> initialize(String url)
      throws IOException, InterruptedException {
    return post(
        url,
        null,
        "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"initialize\",\"params\":"
            + "{\"protocolVersion\":\"2025-06-18\"}}");
  }

  private static long deadlineNanosFromNow() {
    return System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
  }

  private static String call(String url, String prompt) throws IOException, InterruptedException {
    String session = openSession(url);
    return post(
            url,
            session,
            "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\",\"params\":{\"name\":\"sale-lookup\","
                + "\"arguments\":{\"prompt\":\""
                + prompt
                + "\"}}}")
        .body();
  }

  @Test
  void earlierNamesOfCommandsStillWork() throws IOException, InterruptedException {
    assertEquals(run(0, "scenario", "--help"), run(0, "bad-day", "--help"));
    assertEquals(run(0, "emulator", "--help"), run(0, "standin", "--help"));
    assertEquals(
        run(0, "metrics", "dump", "--help"),
        run(0, "tally", "--help").replace("lemondock dump", "lemondock metrics dump"));
    assertEquals(run(0, "platform-emulator", "--help"), run(0, "platform", "--help"));
    assertTrue(run(2, "node", "a", "b").contains("usage: lemondock platform-gateway [CONFIG]"));
  }

  @Test
  void versionHelpAndUsageErrors() throws IOException, InterruptedException {
    assertTrue(run(0, "--version").startsWith("lemondock "));
    String help = run(0, "--help");
    assertTrue(help.contains("scenario"));
    assertFalse(help.contains("bad-day"), "help lists the earlier name bad-day");
    assertTrue(run(2, "nonsense").contains("nonsense"));
    assertTrue(
        run(2, "gateway", "--config", folder.resolve("none").toString())
            .contains("expected a file"));
  }

  @Test
  void configCheckReportsInvalidSettings() throws IOException, InterruptedException {
    assertTrue(run(0, "config", "check", "../conf/gateway.json").contains("good"));
    Path bad = folder.resolve("bad.json");
    Files.writeString(
        bad,
        Files.readString(Path.of("../conf/gateway.json")).replace("\"reader\"", "\"painter\""));
    assertTrue(run(2, "config", "check", bad.toString()).contains("/kinds/0/role"));
  }

  @Test
  void simulatorAdapterStartsFromTheProgram() throws IOException, InterruptedException {
    assertEquals("", run(0, "wirehost"));
  }

  @Test
  void demoServesCallsAndStopsOnSigterm() throws Exception {
    Process demo = start("", "demo", "--seconds", "60");
    try {
      String url = awaitLine(demo, "ready ").substring("ready ".length());
      assertTrue(call(url, "answer in 3 words").contains(" a0 a1 a2"));
      assertEquals(
          " a0 a1 a2 a3[the stock] b0 b1 b2 b3[the price] c0 c1 c2", callToolsThroughSdk(url));
    } finally {
      demo.destroy();
      assertTrue(demo.waitFor(20, TimeUnit.SECONDS));
    }
  }

  @Test
  void demoWithReportFlagReportsToGraphiteAndCollectd() throws Exception {
    try (GraphiteListener graphite = new GraphiteListener(0, false, GraphiteListener.Fault.NONE);
        CollectdListener collectd = new CollectdListener(0, Map.of(), 1)) {
      Process demo =
          start(
              "",
              "demo",
              "--seconds",
              "60",
              "--report",
              "--graphite-port",
              Integer.toString(graphite.port()),
              "--collectd-port",
              Integer.toString(collectd.port()));
      try {
        String url = awaitLine(demo, "ready ").substring("ready ".length());
        assertTrue(call(url, "answer in 3 words").contains(" a0 a1 a2"));
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while ((servedRequests(graphite.received()) != 1
                || collectd.received().newest().keySet().stream()
                    .noneMatch(name -> name.contains("/lemondock_worth-")))
            && System.nanoTime() < deadlineNanos) {
          Thread.sleep(10);
        }
        assertEquals(1, servedRequests(graphite.received()));
        assertTrue(
            collectd.received().newest().keySet().stream()
                .anyMatch(name -> name.contains("/lemondock_worth-")));
      } finally {
        demo.destroy();
        assertTrue(demo.waitFor(20, TimeUnit.SECONDS));
      }
    }
  }

  private static long servedRequests(ReceivedReports received) {
    return received.newest().entrySet().stream()
        .filter(entry -> entry.getKey().endsWith(".served"))
        .mapToLong(entry -> entry.getValue().values().get(0).longValue())
        .sum();
  }

  /** Makes a call with the official Java SDK whose answer contains two tool calls. */
  private static String callToolsThroughSdk(String url) {
    McpClientSession.RequestHandler<Map<String, Object>> tool =
        params ->
            Mono.just(
                Map.of(
                    "content",
                    List.of(
                        Map.of(
                            "type", "text", "text", "the " + ((Map<?, ?>) params).get("name")))));
    McpClientSession session =
        new McpClientSession(
            Duration.ofSeconds(10),
            HttpClientStreamableHttpTransport.builder(
                    url.substring(0, url.length() - "/mcp".length()))
                .endpoint("/mcp")
                .build(),
            Map.of("tools/call", tool),
            Map.of("notifications/progress", params -> Mono.empty()),
            UnaryOperator.identity());
    TypeRef<Map<String, Object>> type = new TypeRef<>() {};
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
            type)
        .block();
    session.sendNotification("notifications/initialized", null).block();
    Map<String, Object> result =
        session
            .sendRequest(
                "tools/call",
                Map.of(
                    "name",
                    "day-close",
                    "arguments",
                    Map.of(
                        "prompt",
                        "call the tool stock and then call the tool price" + " answer in 3 words",
                        "tools",
                        List.of(Map.of("name", "stock"), Map.of("name", "price")))),
                type)
            .block();
    session.close();
    return String.valueOf(((Map<?, ?>) ((List<?>) result.get("content")).get(0)).get("text"));
  }

  /**
   * Runs the catalogue, the emulated engines and the gateway as separate processes. The gateway
   * must recover from an exhaustion of its file descriptors and from a stall during a stream, and
   * on SIGTERM it must let the call in flight finish.
   */
  @Test
  void gatewayRecoversFromFaultsAndDrainsOnSigterm() throws Exception {
    try (LoopbackPort cataloguePort = LoopbackPort.reserve();
        LoopbackPort gatewayPort = LoopbackPort.reserve()) {
      verifyRecoveryAndDrain(cataloguePort.number(), gatewayPort.number());
    }
  }

  private void verifyRecoveryAndDrain(int cataloguePort, int gatewayPort) throws Exception {
    Files.writeString(folder.resolve("c.json"), "{\"listen\":\"127.0.0.1:" + cataloguePort + "\"}");
    Files.writeString(
        folder.resolve("s.json"),
        Files.readString(Path.of("../conf/standin.json"))
            .replace("127.0.0.1:8500", "127.0.0.1:" + cataloguePort)
            .replaceAll("127\\.0\\.0\\.1:81\\d\\d", "127.0.0.1:0"));
    // The emulated engines have just started, but need no warm-up.
    Files.writeString(
        folder.resolve("g.json"),
        Files.readString(Path.of("../conf/gateway.json"))
            .replace("127.0.0.1:8500", "127.0.0.1:" + cataloguePort)
            .replace("127.0.0.1:8080", "127.0.0.1:" + gatewayPort)
            .replaceFirst("\\{", "{\"rules\":{\"warmUpMs\":1},"));
    List<Process> processes = new ArrayList<>();
    try {
      processes.add(start("", "catalogue", "--config", folder.resolve("c.json").toString()));
      awaitLine(processes.get(0), "ready ");
      processes.add(start("", "emulator", "--config", folder.resolve("s.json").toString()));
      awaitLine(processes.get(1), "ready ");
      processes.add(
          start("ulimit -n 200; ", "gateway", "--config", folder.resolve("g.json").toString()));
      String url = awaitLine(processes.get(2), "ready ").substring("ready ".length());
      assertTrue(awaitService(url).contains(" a0 a1 a2"));
      exhaustDescriptors(gatewayPort);
      assertTrue(awaitService(url).contains(" a0 a1 a2"));
      Process gateway = processes.get(2);
      String session = openSession(url);
      Iterator<String> lines = stream(url, session);
      String first = lines.next();
      for (long deadlineNanos = deadlineNanosFromNow();
          first.contains(AT_ITS_LIMIT) && System.nanoTime() < deadlineNanos; ) {
        Thread.sleep(POLL_MILLIS);
        lines = stream(url, session);
        first = lines.next();
      }
      assertTrue(
          first.contains("notifications/progress"),
          "expected a progress notification, not an engine failure after the gateway ran out of"
              + " descriptors: "
              + first);
      sendSignal(gateway, "STOP"); // the gateway is suspended while its engine continues
      Thread.sleep(1_500);
      sendSignal(gateway, "CONT");
      gateway.destroy(); // SIGTERM
      String last = "";
      while (lines.hasNext()) {
        last = lines.next();
      }
      assertTrue(last.contains(" a59"), last);
      assertTrue(gateway.waitFor(20, TimeUnit.SECONDS));
    } finally {
      processes.forEach(Process::destroy);
      for (Process process : processes) {
        assertTrue(process.waitFor(20, TimeUnit.SECONDS));
      }
    }
  }

  private static void sendSignal(Process process, String name)
      throws IOException, InterruptedException {
    assertEquals(
        0, new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor());
  }

  private static Iterator<String> stream(String url, String session)
      throws IOException, InterruptedException {
    return HTTP.send(
            HttpRequest.newBuilder(URI.create(url))
                .header("Content-Type", "application/json")
                .header("Accept", "text/event-stream")
                .header("Mcp-Session-Id", session)
                .POST(
                    HttpRequest.BodyPublishers.ofString(
                        "{\"jsonrpc\":\"2.0\",\"id\":2,\"method\":\"tools/call\","
                            + "\"params\":{\"name\":\"sale-lookup\",\"_meta\":{\"progressToken\":1},\"arguments\":{\"prompt\":\"answer"
                            + " in 60 words\"}}}"))
                .build(),
            HttpResponse.BodyHandlers.ofLines())
        .body()
        .filter(line -> line.startsWith("data: "))
        .iterator();
  }

  private static String awaitService(String url) throws Exception {
    long deadlineNanos = deadlineNanosFromNow();
    String last = "";
    while (System.nanoTime() < deadlineNanos) {
      try {
        last = call(url, "answer in 3 words");
        if (last.contains(" a0 a1 a2")) {
          return last;
        }
      } catch (IOException e) {
        last = e.toString();
      }
      Thread.sleep(POLL_MILLIS);
    }
    return last;
  }

  /**
   * Opens more connections than the process has file descriptors, then closes them. The process
   * must survive and serve again afterwards.
   */
  private static void exhaustDescriptors(int port) throws IOException {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < 300; i++) {
        sockets.add(new Socket(InetAddress.getLoopbackAddress(), port));
      }
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }
}
