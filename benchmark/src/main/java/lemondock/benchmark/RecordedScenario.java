package lemondock.benchmark;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lemondock.anomaly.DegradationDetector;

/**
 * A scenario that {@link DetectorScenarioRecorder} played. Times are microseconds.
 *
 * @param rulesKept whether the scenario kept the five rules
 * @param callsByGateway calls by gateway, then by class and, under {@link DegradationDetector#ALL},
 *     all of them
 * @param looksByGateway what each gateway's detector saw, in order
 */
record RecordedScenario(
    boolean rulesKept,
    Map<String, Map<String, List<Call>>> callsByGateway,
    Map<String, List<Look>> looksByGateway) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** A call and whether it met its objectives. */
  record Call(long atMicros, boolean good) {}

  /** Numbers of good and bad requests so far, by class. */
  record Look(long atMicros, Map<String, Counts> countsByClass) {
    long total() {
      return countsByClass.values().stream()
          .mapToLong(counts -> counts.good() + counts.bad())
          .sum();
    }
  }

  /** Requests of a class. */
  record Counts(long good, long bad) {}

  /** Parses a line of the recorder's file. */
  static RecordedScenario parse(String line) throws IOException {
    JsonNode root = MAPPER.readTree(line);
    return new RecordedScenario(
        root.get("kept").booleanValue(),
        parseCalls(root.get("calls")),
        parseLooks(root.get("looks")));
  }

  private static Map<String, Map<String, List<Call>>> parseCalls(JsonNode calls) {
    Map<String, Map<String, List<Call>>> callsByGateway = new TreeMap<>();
    for (JsonNode json : calls) {
      Call call = new Call(json.get("at").longValue(), json.get("good").booleanValue());
      Map<String, List<Call>> byClass =
          callsByGateway.computeIfAbsent(json.get("g").textValue(), absent -> new TreeMap<>());
      for (String key : List.of(json.get("c").textValue(), DegradationDetector.ALL)) {
        byClass.computeIfAbsent(key, absent -> new ArrayList<>()).add(call);
      }
    }
    return callsByGateway;
  }

  private static Map<String, List<Look>> parseLooks(JsonNode looks) {
    Map<String, List<Look>> looksByGateway = new TreeMap<>();
    for (JsonNode json : looks) {
      Map<String, Counts> counts = new LinkedHashMap<>();
      for (Map.Entry<String, JsonNode> entry : json.get("n").properties()) {
        JsonNode pair = entry.getValue();
        counts.put(entry.getKey(), new Counts(pair.get(0).longValue(), pair.get(1).longValue()));
      }
      looksByGateway
          .computeIfAbsent(json.get("g").textValue(), absent -> new ArrayList<>())
          .add(new Look(json.get("at").longValue(), counts));
    }
    return looksByGateway;
  }
}
