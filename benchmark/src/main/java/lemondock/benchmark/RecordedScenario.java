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
 * A fault scenario recorded by {@link DetectorScenarioRecorder}. Times are in microseconds.
 *
 * @param rulesKept whether the audit found none of its five rules violated
 * @param callsByGateway calls by gateway, then by class; {@link DegradationDetector#ALL} maps to
 *     the calls of all classes
 * @param observationsByGateway the counts that each gateway's detector was given, in order
 */
record RecordedScenario(
    boolean rulesKept,
    Map<String, Map<String, List<Call>>> callsByGateway,
    Map<String, List<Observation>> observationsByGateway) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** A call: when it was sent and whether it met its objectives. */
  record Call(long atMicros, boolean good) {}

  /** Cumulative numbers of good and bad requests at one time, by class. */
  record Observation(long atMicros, Map<String, Counts> countsByClass) {
    long total() {
      return countsByClass.values().stream()
          .mapToLong(counts -> counts.good() + counts.bad())
          .sum();
    }
  }

  /** Numbers of requests of a class that met their objectives and that did not. */
  record Counts(long good, long bad) {}

  /** Parses a line of the recorder's file. */
  static RecordedScenario parse(String line) throws IOException {
    JsonNode root = MAPPER.readTree(line);
    return new RecordedScenario(
        root.get("kept").booleanValue(),
        parseCalls(root.get("calls")),
        parseObservations(root.get("looks")));
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

  private static Map<String, List<Observation>> parseObservations(JsonNode observations) {
    Map<String, List<Observation>> observationsByGateway = new TreeMap<>();
    for (JsonNode json : observations) {
      Map<String, Counts> counts = new LinkedHashMap<>();
      for (Map.Entry<String, JsonNode> entry : json.get("n").properties()) {
        JsonNode pair = entry.getValue();
        counts.put(entry.getKey(), new Counts(pair.get(0).longValue(), pair.get(1).longValue()));
      }
      observationsByGateway
          .computeIfAbsent(json.get("g").textValue(), absent -> new ArrayList<>())
          .add(new Observation(json.get("at").longValue(), counts));
    }
    return observationsByGateway;
  }
}
