package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import java.util.stream.Stream;
import lemondock.emulator.TrafficEvent;
import lemondock.rpc.Mcp;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;

/**
 * Runs a gateway in a process of its own and kills it during a non-idempotent call with a tool
 * call: once before each change to the directory of its idempotency store, and once halfway through
 * each write. This is done with a new log and during a compaction. What the client and the engines
 * saw before the crash must agree with what the restarted gateway reports.
 */
@Timeout(120)
class CrashTest {
  /**
   * Gateways that run at the same time in each of the two tests. The number depends on the cores,
   * because each gateway is a process of its own, and waiting for it has a time limit.
   */
  private static final int MAX_PROCESSES =
      Math.max(1, Math.min(4, Runtime.getRuntime().availableProcessors() / 2));

  private static final int MAX_STEPS = 40;

  /**
   * Time in which a process may still reach its step after the end of the call; on a busy machine
   * it may be late.
   */
  private static final long EXIT_WAIT_MILLIS = 3_000;

  private static final String PROMPT = "call the tool stock answer in 5 words";

  @TempDir private static Path folder;
  private static ScenarioFleet fleet;
  private static final AtomicInteger COUNTER = new AtomicInteger();

  @BeforeAll
  static void startEngines() {
    fleet =
        new ScenarioFleet(
            LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", s -> {}).classes(), 1);
    fleet.addEngine(ScenarioFixture.reader("r"));
    fleet.addEngine(ScenarioFixture.writer("w"));
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  /** One incarnation of the gateway, as a child process. */
  private static final class GatewayProcess implements AutoCloseable {
    private final Process process;
    private final int port = fleet.reservePort();
    private final Path errors;

    /**
     * Starts the process and waits until it reports "ready" or exits.
     *
     * @param step number of the directory operation before which it exits; 0 for never
     * @param isPartialWrite whether only writes count as steps, and the process exits after half of
     *     the bytes of that write
     */
    GatewayProcess(Path home, int step, boolean isPartialWrite)
        throws IOException, InterruptedException {
      errors = home.resolve("stderr-" + port + ".txt");
      ObjectNode[] settingsRoot = new ObjectNode[1];
      LoopbackSettings.gateway(
          "gw",
          0,
          1,
          "north",
          port,
          fleet.catalogueAddress(),
          settings -> {
            settings
                .putObject("durable")
                .put("path", home.resolve("calls").toString())
                .put("waitMs", 10_000)
                .put("mostBytes", 4_096);
            settings.putObject("overload").put("refuse", false);
            ((ObjectNode) settings.at("/classes/0"))
                .put("repeat", "once")
                .put("deadlineMs", 20_000)
                .put("aimMs", 10_000);
            settingsRoot[0] = settings;
          });
      Path settingsFile =
          Files.writeString(home.resolve("gateway.json"), settingsRoot[0].toString());
      process =
          new ProcessBuilder(
                  ProcessHandle.current().info().command().orElse("java"),
                  "-Xmx128m",
                  "-XX:TieredStopAtLevel=1",
                  "-cp",
                  System.getProperty("java.class.path"),
                  HaltingGateway.class.getName(),
                  settingsFile.toString(),
                  Integer.toString(step),
                  Boolean.toString(isPartialWrite))
              .redirectError(errors.toFile())
              .start();
      BufferedReader output =
          new BufferedReader(
              new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      String line = output.readLine();
      while (line != null && !line.equals("ready")) {
        line = output.readLine();
      }
    }

    /** Waits until /readyz answers 200; false if the process exits before. */
    boolean awaitReady() throws InterruptedException {
      HttpRequest probe =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/readyz")).build();
      while (process.isAlive()) {
        try {
          if (ConversationClient.HTTP
                  .send(probe, HttpResponse.BodyHandlers.discarding())
                  .statusCode()
              == 200) {
            return true;
          }
        } catch (IOException e) {
          // not listening yet, or the process has exited
        }
        TimeUnit.MILLISECONDS.sleep(5);
      }
      return false;
    }

    /** The state of the process and what it wrote to standard error, for failure messages. */
    String diagnosis() {
      try {
        String state =
            process.isAlive() ? "process runs" : "process exited with " + process.exitValue();
        return state + "; standard error: " + Files.readString(errors);
      } catch (IOException e) {
        return "cannot read standard error of the process: " + e;
      }
    }

    /** Whether the process exited at its step; one that did not is killed. */
    boolean exitedAtStep() throws InterruptedException {
      boolean exited = process.waitFor(EXIT_WAIT_MILLIS, TimeUnit.MILLISECONDS);
      if (exited) {
        assertEquals(HaltingGateway.KILLED, process.exitValue(), this::diagnosis);
      }
      close();
      return exited;
    }

    @Override
    public void close() {
      process.destroyForcibly().onExit().join();
    }
  }

  /** What a client saw of one attempt. */
  private static final class Attempt {
    private int relayedToolCalls;
    private JsonNode response;
  }

  private static Attempt call(GatewayProcess process, String mark, String key)
      throws InterruptedException {
    Attempt attempt = new Attempt();
    try {
      ConversationClient client = new ConversationClient(process.port);
      try (ConversationClient.Answer answer =
          client.call("7", "sale-lookup", "#" + mark + "# " + PROMPT, List.of("stock"), key)) {
        for (JsonNode message = answer.next(); message != null; message = answer.next()) {
          if (message.path("method").asText().equals(Mcp.TOOLS_CALL)) {
            attempt.relayedToolCalls++;
            client.post(ConversationClient.toolResult(message.get("id"), "did"));
          } else if (message.has("result") || message.has("error")) {
            attempt.response = message;
          }
        }
      }
    } catch (IOException e) {
      // the gateway process was killed
    }
    return attempt;
  }

  /** The decodes that the engines started for an attempt, each as its number of messages. */
  private static List<Long> startedDecodes(String mark) {
    return fleet.events().stream()
        .filter(e -> e.kind() == TrafficEvent.Kind.DECODE_STARTED && e.mark().equals(mark))
        .map(TrafficEvent::value)
        .toList();
  }

  /** Kills a gateway at a step and checks its successor; false if the step was never reached. */
  private static boolean crashAndRestart(Supplier<Path> homes, int step, boolean isPartialWrite) {
    String mark = "c" + COUNTER.incrementAndGet();
    String context = mark + ", step " + step + (isPartialWrite ? " (half of a write)" : "");
    Path home = homes.get();
    try {
      Attempt before = new Attempt();
      boolean crashed;
      try (GatewayProcess process = new GatewayProcess(home, step, isPartialWrite)) {
        if (process.awaitReady()) {
          before = call(process, mark + "a", "k");
        }
        crashed = process.exitedAtStep();
      }
      try (GatewayProcess successor = new GatewayProcess(home, 0, false)) {
        assertTrue(
            successor.awaitReady(),
            () -> context + ": the gateway must start again, " + successor.diagnosis());
        Attempt after = call(successor, mark + "b", "k");
        assertNotNull(after.response, context);
        if (after.response.has("result")) {
          assertEquals(
              0,
              before.relayedToolCalls,
              context + ": the tool call was relayed before and after the restart");
          assertTrue(
              before.response == null,
              context + ": the call was served before and after the restart");
          assertTrue(
              startedDecodes(mark + "a").isEmpty(),
              context + ": it was decoded before and after the restart");
          assertEquals(1, after.relayedToolCalls, context);
        } else {
          final String outcome = after.response.at("/error/data/became").asText();
          assertEquals(0, after.relayedToolCalls, context);
          assertTrue(startedDecodes(mark + "b").isEmpty(), context);
          assertFalse(
              after.response.at("/error/data/retryable").asBoolean(true),
              context + ": " + after.response);
          assertTrue(
              outcome.equals("served") || outcome.equals("may_have_run"),
              context + ": " + after.response);
          if (before.relayedToolCalls > 0) {
            assertEquals(
                "stock",
                after.response.at("/error/data/relayed/0/tool").asText(),
                context + ": " + after.response);
          }
          if (outcome.equals("served")) {
            assertEquals(
                2,
                startedDecodes(mark + "a").size(),
                context + ": reported as served, expected both of its decodes");
          }
        }
        assertEquals(
            startedDecodes(mark + "a").size(),
            startedDecodes(mark + "a").stream().distinct().count(),
            context + ": a part of the answer was decoded twice");
        JsonNode newCall = call(successor, mark + "c", "k-" + mark).response;
        assertTrue(newCall.has("result"), context + ": a new call must be served, got " + newCall);
      }
      return crashed;
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(context, e);
    }
  }

  /**
   * Crashes gateways at step 1, 2 and so on until a step is not reached; returns the steps reached.
   */
  private static int crashAtEachStep(Supplier<Path> homes, boolean isPartialWrite) {
    ExecutorService executor = Executors.newFixedThreadPool(MAX_PROCESSES);
    try {
      int steps = 0;
      while (steps < MAX_STEPS) {
        List<CompletableFuture<Boolean>> crashes = new ArrayList<>();
        for (int i = 1; i <= MAX_PROCESSES; i++) {
          int step = steps + i;
          crashes.add(
              CompletableFuture.supplyAsync(
                  () -> crashAndRestart(homes, step, isPartialWrite), executor));
        }
        int reached =
            (int)
                crashes.stream()
                    .map(CompletableFuture::join)
                    .filter(reachedStep -> reachedStep)
                    .count();
        steps += reached;
        if (reached < MAX_PROCESSES) {
          return steps;
        }
      }
      return steps;
    } finally {
      executor.shutdownNow();
    }
  }

  private static Path newHome() {
    try {
      return Files.createDirectories(folder.resolve("home" + COUNTER.incrementAndGet()));
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  @Execution(ExecutionMode.CONCURRENT)
  @Test
  void callStaysConsistentAfterKillAtEachStepOfANewLog() {
    int steps = crashAtEachStep(CrashTest::newHome, false);
    assertTrue(
        steps >= 10,
        "creating a log, then writing and syncing four records, takes at least 10 steps, got "
            + steps);
    int writes = crashAtEachStep(CrashTest::newHome, true);
    assertTrue(writes >= 4, "expected at least 4 interrupted writes, got " + writes);
  }

  @Execution(ExecutionMode.CONCURRENT)
  @Test
  void callStaysConsistentAfterKillAtEachStepOfCompaction() throws Exception {
    Path filledHome = newHome();
    try (GatewayProcess process = new GatewayProcess(filledHome, 0, false)) {
      assertTrue(process.awaitReady(), process::diagnosis);
      for (int i = 0; Files.size(logFile(filledHome)) < 4_096; i++) {
        assertTrue(call(process, "fill" + i, "fill" + i + "x".repeat(80)).response.has("result"));
      }
    }
    int steps = crashAtEachStep(() -> copyHome(filledHome), false);
    assertTrue(steps >= 10, "expected at least 10 interrupted steps, got " + steps);
    int writes = crashAtEachStep(() -> copyHome(filledHome), true);
    assertTrue(writes >= 3, "expected at least 3 interrupted writes, got " + writes);
  }

  private static Path logFile(Path home) throws IOException {
    try (Stream<Path> files = Files.list(home.resolve("calls"))) {
      return files
          .filter(f -> f.getFileName().toString().startsWith("log-"))
          .findFirst()
          .orElseThrow();
    }
  }

  private static Path copyHome(Path source) {
    Path copy = newHome();
    try (Stream<Path> files = Files.list(source.resolve("calls"))) {
      Files.createDirectories(copy.resolve("calls"));
      for (Path file : files.toList()) {
        Files.copy(file, copy.resolve("calls").resolve(file.getFileName()));
      }
      return copy;
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }
}
