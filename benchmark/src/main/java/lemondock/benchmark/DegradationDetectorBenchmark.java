package lemondock.benchmark;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import lemondock.anomaly.BurnRateDetector;
import lemondock.anomaly.ChangeDetector;
import lemondock.anomaly.CusumDetector;
import lemondock.anomaly.DegradationChange;
import lemondock.anomaly.DegradationDetector;
import lemondock.anomaly.EventCounts;
import lemondock.anomaly.ServiceScope;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.Series;
import lemondock.scenario.CallRecord;
import lemondock.scenario.FaultScenario;
import lemondock.scenario.ScenarioResult;
import lemondock.scenario.ScenarioScript;
import lemondock.scenario.ScenarioSettings;

/**
 * Judges the detector of falls. Days are played once, on sockets with stand-in engines, and what
 * each gateway's detector saw is kept beside what the clients saw; then any detector can be run
 * over them. A fall is what the clients saw: over two seconds of a gateway's calls (all, or of one
 * class) at least a quarter, and four, were lost or late.
 */
final class DegradationDetectorBenchmark {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long SECOND = 1_000_000;
  private static final long WINDOW = 2 * SECOND;
  private static final double FALLEN = 0.25;
  private static final int LEAST = 4;
  private static final long AFTER = 3 * SECOND;
  private static final long BEFORE = 4 * SECOND;
  private static final double CHARS_A_TOKEN = 4;

  private DegradationDetectorBenchmark() {}

  /** Plays days and appends one line of JSON for each to the file. */
  static void play(long from, long to, Path file) throws IOException, InterruptedException {
    for (long seed = from; seed <= to; seed++) {
      ArrayNode looks = MAPPER.createArrayNode();
      FaultScenario day =
          new FaultScenario(ScenarioScript.draw(seed, 12))
              .onSnapshot(
                  (gateway, at, snapshot) -> {
                    ObjectNode look = MAPPER.createObjectNode().put("g", gateway).put("at", at);
                    ObjectNode counts = look.putObject("n");
                    for (Series s : snapshot.series()) {
                      if (s.family().equals(MetricFamilies.SERVICE_LEVEL)) {
                        counts
                            .putArray(s.labelValues().get(0))
                            .add(snapshot.values()[s.slot(0)])
                            .add(snapshot.values()[s.slot(1)]);
                      }
                    }
                    synchronized (looks) {
                      looks.add(look);
                    }
                  });
      ScenarioResult result = day.play();
      ObjectNode line =
          MAPPER
              .createObjectNode()
              .put("seed", seed)
              .put("kept", result.audit().allRulesKept())
              .put("troubles", result.script().describe());
      ArrayNode calls = line.putArray("calls");
      List<GatewaySettings.ClassSettings> classes = ScenarioSettings.requestClasses();
      for (CallRecord c : result.callRecords()) {
        if (!c.notAccepted
            && c.cancelledAtMicros == 0
            && (c.answeredAtMicros != 0 || c.connectionLostAtMicros == 0)) {
          calls
              .addObject()
              .put("g", c.gateway)
              .put("c", classes.get(c.classId).name())
              .put("at", c.calledAtMicros)
              .put("good", good(classes.get(c.classId), c));
        }
      }
      synchronized (looks) {
        line.set("looks", looks);
      }
      try (BufferedWriter out =
          Files.newBufferedWriter(file, StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
        out.write(line.toString());
        out.newLine();
      }
      System.err.println(
          "day "
              + seed
              + ": "
              + (result.audit().allRulesKept()
                  ? "rules kept"
                  : "RULES BROKEN " + result.audit().violations()));
    }
  }

  private static boolean good(GatewaySettings.ClassSettings c, CallRecord seen) {
    double aim =
        GatewaySettings.micros(
            c.aimMs() + c.aimMsPerThousandTokens() * seen.promptChars / CHARS_A_TOKEN / 1000);
    long first = seen.firstMessageAtMicros != 0 ? seen.firstMessageAtMicros : seen.answeredAtMicros;
    return seen.served()
        && first - seen.calledAtMicros <= aim
        && (!seen.toolCalls.isEmpty()
            || seen.answeredAtMicros - seen.firstMessageAtMicros
                <= GatewaySettings.micros(Math.max(1, seen.tokens) * c.tokenAimMs()));
  }

  // ==== judging

  private record Span(long from, long to) {}

  private record Call(long at, boolean good) {}

  private static final class Score {
    private final List<Double> delays = new ArrayList<>();
    private int falls;
    private int alarms;
    private int falseAlarms;
    private double hours;
  }

  /**
   * Runs detectors over the days of the files and prints a table; then hours of drawn quiet
   * traffic.
   */
  static void judge(List<Path> files) throws IOException {
    List<JsonNode> days = new ArrayList<>();
    for (Path file : files) {
      for (String line : Files.readAllLines(file)) {
        days.add(MAPPER.readTree(line));
      }
    }
    Map<String, Supplier<ChangeDetector>> detectors = new LinkedHashMap<>();
    for (double threshold : new double[] {5, 7, 9, 12, 16}) {
      detectors.put(
          "cumulative sum, threshold " + threshold,
          () -> new CusumDetector(CusumDetector.Options.DEFAULT.withAlarmThreshold(threshold)));
    }
    for (double rate : new double[] {3, 5, 8}) {
      detectors.put(
          "burn rate 3 s and 12 s, " + rate + " times 5 %",
          () ->
              new BurnRateDetector(
                  new BurnRateDetector.Options(
                      0.05, rate, 3, 3 * SECOND, 12 * SECOND, 3 * SECOND)));
    }
    detectors.put(
        "burn rate 1 s and 5 s, 5.0 times 5 %",
        () ->
            new BurnRateDetector(
                new BurnRateDetector.Options(0.05, 5, 3, SECOND, 5 * SECOND, 3 * SECOND)));
    System.out.println(
        days.size()
            + " days, kept the rules: "
            + days.stream().filter(d -> d.get("kept").booleanValue()).count());
    System.out.println(
        "| detector | falls | told | delay s p50 / p90 | false alarms / all | false an hour"
            + " (gateway) | false in 100 h of quiet draws: 2, 20, 100 a second |\n"
            + "| --- | --- | --- | --- | --- | --- | --- |");
    detectors.forEach(
        (name, evidence) -> {
          Score score = new Score();
          days.forEach(d -> judge(d, evidence, score));
          Collections.sort(score.delays);
          System.out.printf(
              Locale.ROOT,
              "| %s | %d | %d (%.0f %%) | %.2f / %.2f | %d / %d | %.1f | %d, %d, %d" + " |%n",
              name,
              score.falls,
              score.delays.size(),
              100.0 * score.delays.size() / Math.max(1, score.falls),
              at(score.delays, 0.5),
              at(score.delays, 0.9),
              score.falseAlarms,
              score.alarms,
              score.falseAlarms / Math.max(1e-9, score.hours),
              quiet(evidence, 2),
              quiet(evidence, 20),
              quiet(evidence, 100));
        });
  }

  private static void judge(JsonNode day, Supplier<ChangeDetector> evidence, Score score) {
    Map<String, Map<String, List<Call>>> seen = new TreeMap<>(); // gateway -> class or all -> calls
    for (JsonNode c : day.get("calls")) {
      Call call = new Call(c.get("at").longValue(), c.get("good").booleanValue());
      for (String cell : List.of(c.get("c").textValue(), DegradationDetector.ALL)) {
        seen.computeIfAbsent(c.get("g").textValue(), g -> new TreeMap<>())
            .computeIfAbsent(cell, k -> new ArrayList<>())
            .add(call);
      }
    }
    Map<String, List<JsonNode>> looks = new TreeMap<>();
    day.get("looks")
        .forEach(l -> looks.computeIfAbsent(l.get("g").textValue(), g -> new ArrayList<>()).add(l));
    looks.forEach(
        (gateway, some) -> {
          Map<String, List<Span>> falls = new TreeMap<>();
          seen.getOrDefault(gateway, Map.of())
              .forEach((cell, calls) -> falls.put(cell, falls(calls)));
          score.hours +=
              (some.get(some.size() - 1).get("at").longValue() - some.get(0).get("at").longValue())
                  / (3600.0 * SECOND);
          compare(falls, alarms(some, evidence), score);
        });
  }

  private static double at(List<Double> sorted, double share) {
    return sorted.isEmpty()
        ? Double.NaN
        : sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * share));
  }

  private static List<Span> falls(List<Call> calls) {
    List<Call> sorted =
        calls.stream().sorted(java.util.Comparator.comparingLong(Call::at)).toList();
    List<Span> spans = new ArrayList<>();
    for (int i = 0; i < sorted.size(); i++) {
      int bad = 0;
      int all = 0;
      long last = 0;
      for (int j = i; j < sorted.size() && sorted.get(j).at() - sorted.get(i).at() <= WINDOW; j++) {
        all++;
        if (!sorted.get(j).good()) {
          bad++;
          last = sorted.get(j).at();
        }
      }
      if (!sorted.get(i).good() && bad >= LEAST && bad >= FALLEN * all) {
        Span before = spans.isEmpty() ? null : spans.get(spans.size() - 1);
        if (before != null && sorted.get(i).at() <= before.to() + SECOND) {
          spans.set(spans.size() - 1, new Span(before.from(), Math.max(before.to(), last)));
        } else {
          spans.add(new Span(sorted.get(i).at(), last));
        }
      }
    }
    return spans;
  }

  /** Moments at which falls were told, by cell. */
  private static Map<String, List<Long>> alarms(
      List<JsonNode> looks, Supplier<ChangeDetector> evidence) {
    Map<String, List<Long>> told = new TreeMap<>();
    DegradationDetector detector = new DegradationDetector(evidence);
    long before = 0;
    for (JsonNode look : looks) {
      List<EventCounts> counts = new ArrayList<>();
      long sum = 0;
      for (Map.Entry<String, JsonNode> n : look.get("n").properties()) {
        counts.add(
            new EventCounts(
                new ServiceScope(n.getKey(), "z"),
                n.getValue().get(0).longValue(),
                n.getValue().get(1).longValue()));
        sum += n.getValue().get(0).longValue() + n.getValue().get(1).longValue();
      }
      if (sum < before) {
        detector =
            new DegradationDetector(
                evidence); // the gateway was started anew, and its detector with it
      }
      before = sum;
      long at = look.get("at").longValue();
      detector.observe(at, counts, List.of()).stream()
          .filter(DegradationChange::isStart)
          .forEach(c -> told.computeIfAbsent(c.scope().name(), k -> new ArrayList<>()).add(at));
    }
    return told;
  }

  private static void compare(
      Map<String, List<Span>> falls, Map<String, List<Long>> told, Score score) {
    falls.forEach(
        (cell, spans) -> {
          for (Span span : spans) {
            score.falls++;
            told.entrySet().stream()
                .filter(t -> related(cell, t.getKey()))
                .flatMap(t -> t.getValue().stream())
                .filter(at -> at >= span.from() && at <= span.to() + AFTER)
                .min(Long::compare)
                .ifPresent(at -> score.delays.add((at - span.from()) / (double) SECOND));
          }
        });
    told.forEach(
        (cell, moments) -> {
          for (long at : moments) {
            score.alarms++;
            boolean real =
                falls.entrySet().stream()
                    .filter(f -> related(cell, f.getKey()))
                    .flatMap(f -> f.getValue().stream())
                    .anyMatch(s -> at >= s.from() && at <= s.to() + BEFORE);
            score.falseAlarms += real ? 0 : 1;
          }
        });
  }

  private static boolean related(String cell, String other) {
    return cell.equals(other)
        || cell.equals(DegradationDetector.ALL)
        || other.equals(DegradationDetector.ALL);
  }

  /** Falls told in 100 hours of drawn requests, of which 3 in 100 are bad by chance. */
  private static int quiet(Supplier<ChangeDetector> maker, int perSecond) {
    SplittableRandom random = new SplittableRandom(perSecond);
    ChangeDetector evidence = maker.get();
    int told = 0;
    for (long second = 1; second <= 100 * 3600; second++) {
      int good = 0;
      int bad = 0;
      for (int i = 0; i < perSecond; i++) {
        if (random.nextDouble() < 0.03) {
          bad++;
        } else {
          good++;
        }
      }
      boolean before = evidence.isDegraded();
      evidence.observe(second * SECOND, good, bad);
      told += !before && evidence.isDegraded() ? 1 : 0;
    }
    return told;
  }

  /** {@code detector-days FROM TO FILE} plays, {@code detector FILE...} judges. */
  static void main(String[] args) throws IOException, InterruptedException {
    if (args[0].equals("detector-days")) {
      play(Long.parseLong(args[1]), Long.parseLong(args[2]), Path.of(args[3]));
    } else {
      judge(Arrays.stream(args).skip(1).map(Path::of).toList());
    }
  }
}
