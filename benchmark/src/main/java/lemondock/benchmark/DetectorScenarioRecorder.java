package lemondock.benchmark;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;
import lemondock.scenario.CallRecord;
import lemondock.scenario.FaultScenario;
import lemondock.scenario.ScenarioResult;
import lemondock.scenario.ScenarioScript;
import lemondock.scenario.ScenarioSettings;

/**
 * Plays fault scenarios on sockets with emulated engines and keeps what each gateway's detector saw
 * beside what the clients saw, for {@link DegradationDetectorBenchmark}. Appends one line of JSON
 * for each scenario to a file; {@link RecordedScenario} describes it.
 */
final class DetectorScenarioRecorder implements Benchmark {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double SCENARIO_SECONDS = 12;
  private static final double CHARACTERS_PER_TOKEN = 4;
  private static final double TOKENS_PER_OBJECTIVE_UNIT = 1_000;

  private final long firstSeed;
  private final long lastSeed;
  private final Path file;

  DetectorScenarioRecorder(long firstSeed, long lastSeed, Path file) {
    this.firstSeed = firstSeed;
    this.lastSeed = lastSeed;
    this.file = file;
  }

  @Override
  public void run() throws Exception {
    for (long seed = firstSeed; seed <= lastSeed; seed++) {
      playAndAppend(seed);
    }
  }

  private void playAndAppend(long seed) throws IOException, InterruptedException {
    ArrayNode looks = MAPPER.createArrayNode(); // guarded by itself
    FaultScenario scenario =
        new FaultScenario(ScenarioScript.draw(seed, SCENARIO_SECONDS))
            .onSnapshot(
                (gateway, atMicros, snapshot) -> {
                  ObjectNode look = lookJson(gateway, atMicros, snapshot);
                  synchronized (looks) {
                    looks.add(look);
                  }
                });
    ScenarioResult result = scenario.play();
    ObjectNode line =
        MAPPER
            .createObjectNode()
            .put("seed", seed)
            .put("kept", result.audit().allRulesKept())
            .put("troubles", result.script().describe());
    line.set("calls", callsJson(result.callRecords()));
    synchronized (looks) {
      line.set("looks", looks);
    }
    append(line);
    System.err.println(
        "day "
            + seed
            + ": "
            + (result.audit().allRulesKept()
                ? "rules kept"
                : "RULES BROKEN " + result.audit().violations()));
  }

  /** The counts of good and bad requests of each class as a detector gets them. */
  private static ObjectNode lookJson(String gateway, long atMicros, MetricsSnapshot snapshot) {
    ObjectNode look = MAPPER.createObjectNode().put("g", gateway).put("at", atMicros);
    ObjectNode counts = look.putObject("n");
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.SERVICE_LEVEL)) {
        counts
            .putArray(series.labelValues().get(0))
            .add(snapshot.values()[series.slot(0)])
            .add(snapshot.values()[series.slot(1)]);
      }
    }
    return look;
  }

  private static ArrayNode callsJson(List<CallRecord> records) {
    ArrayNode calls = MAPPER.createArrayNode();
    List<GatewaySettings.ClassSettings> classes = ScenarioSettings.requestClasses();
    for (CallRecord call : records) {
      boolean hasEnd = call.answeredAtMicros != 0 || call.connectionLostAtMicros == 0;
      if (!call.notAccepted && call.cancelledAtMicros == 0 && hasEnd) {
        GatewaySettings.ClassSettings requestClass = classes.get(call.classId);
        calls
            .addObject()
            .put("g", call.gateway)
            .put("c", requestClass.name())
            .put("at", call.calledAtMicros)
            .put("good", isGood(requestClass, call));
      }
    }
    return calls;
  }

  /** Whether a call met its class's latency objectives, as its client saw it. */
  private static boolean isGood(GatewaySettings.ClassSettings requestClass, CallRecord call) {
    double promptMillis =
        requestClass.aimMsPerThousandTokens()
            * call.promptChars
            / CHARACTERS_PER_TOKEN
            / TOKENS_PER_OBJECTIVE_UNIT;
    double objectiveMicros = GatewaySettings.micros(requestClass.aimMs() + promptMillis);
    long firstMicros =
        call.firstMessageAtMicros != 0 ? call.firstMessageAtMicros : call.answeredAtMicros;
    return call.served()
        && firstMicros - call.calledAtMicros <= objectiveMicros
        && (!call.toolCalls.isEmpty() || hasGoodPace(requestClass, call));
  }

  private static boolean hasGoodPace(GatewaySettings.ClassSettings requestClass, CallRecord call) {
    return call.answeredAtMicros - call.firstMessageAtMicros
        <= GatewaySettings.micros(Math.max(1, call.tokens) * requestClass.tokenAimMs());
  }

  private void append(ObjectNode line) throws IOException {
    try (BufferedWriter writer =
        Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
      writer.write(line.toString());
      writer.newLine();
    }
  }
}
