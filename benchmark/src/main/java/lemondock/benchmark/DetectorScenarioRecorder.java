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
 * Plays fault scenarios over sockets with emulated engines and records, for {@link
 * DegradationDetectorBenchmark}, the input of each gateway's detector together with what the
 * clients observed. Appends one line of JSON for each scenario to a file; {@link RecordedScenario}
 * parses it.
 */
final class DetectorScenarioRecorder implements Benchmark {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final double SCENARIO_SECONDS = 12;
  private static final double CHARACTERS_PER_TOKEN = 4;
  private static final double TOKENS_PER_OBJECTIVE_UNIT = 1_000;

  private final long firstSeed;
  private final long lastSeed;
  private final Path file;

  /** Creates a recorder of the scenarios with the seeds from first to last, both included. */
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
    ArrayNode snapshots = MAPPER.createArrayNode(); // guarded by itself
    FaultScenario scenario =
        new FaultScenario(ScenarioScript.draw(seed, SCENARIO_SECONDS))
            .onSnapshot(
                (gateway, atMicros, snapshot) -> {
                  ObjectNode snapshotJson = snapshotJson(gateway, atMicros, snapshot);
                  synchronized (snapshots) {
                    snapshots.add(snapshotJson);
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
    synchronized (snapshots) {
      line.set("looks", snapshots);
    }
    append(line);
    System.err.println(
        "scenario with seed "
            + seed
            + ": "
            + (result.audit().allRulesKept()
                ? "rules kept"
                : "RULES BROKEN " + result.audit().violations()));
  }

  /** Formats the counts of good and bad requests of each class, as a detector receives them. */
  private static ObjectNode snapshotJson(String gateway, long atMicros, MetricsSnapshot snapshot) {
    ObjectNode json = MAPPER.createObjectNode().put("g", gateway).put("at", atMicros);
    ObjectNode counts = json.putObject("n");
    for (Series series : snapshot.series()) {
      if (series.family().equals(MetricFamilies.SERVICE_LEVEL)) {
        counts
            .putArray(series.labelValues().get(0))
            .add(snapshot.values()[series.slot(0)])
            .add(snapshot.values()[series.slot(1)]);
      }
    }
    return json;
  }

  private static ArrayNode callsJson(List<CallRecord> records) {
    ArrayNode calls = MAPPER.createArrayNode();
    List<GatewaySettings.ClassSettings> classes = ScenarioSettings.requestClasses();
    for (CallRecord call : records) {
      boolean hasKnownOutcome = call.answeredAtMicros != 0 || call.connectionLostAtMicros == 0;
      if (!call.notAccepted && call.cancelledAtMicros == 0 && hasKnownOutcome) {
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

  /** Whether a call met the latency objectives of its class, as measured by its client. */
  private static boolean isGood(GatewaySettings.ClassSettings requestClass, CallRecord call) {
    double promptAllowanceMillis =
        requestClass.aimMsPerThousandTokens()
            * call.promptChars
            / CHARACTERS_PER_TOKEN
            / TOKENS_PER_OBJECTIVE_UNIT;
    double objectiveMicros = GatewaySettings.micros(requestClass.aimMs() + promptAllowanceMillis);
    long firstResponseAtMicros =
        call.firstMessageAtMicros != 0 ? call.firstMessageAtMicros : call.answeredAtMicros;
    return call.served()
        && firstResponseAtMicros - call.calledAtMicros <= objectiveMicros
        && (!call.toolCalls.isEmpty() || meetsTokenObjective(requestClass, call));
  }

  private static boolean meetsTokenObjective(
      GatewaySettings.ClassSettings requestClass, CallRecord call) {
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
