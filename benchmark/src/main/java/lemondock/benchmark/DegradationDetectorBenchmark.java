package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.anomaly.BurnRateDetector;
import lemondock.anomaly.ChangeDetector;
import lemondock.anomaly.CusumDetector;

/**
 * Runs degradation detectors over recorded scenarios and prints how many degradations each
 * detected, after which delay, and how many false alarms it raised. Also counts false alarms over
 * hours of randomly generated traffic without degradations.
 */
final class DegradationDetectorBenchmark implements Benchmark {
  private static final long SECOND_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final double[] CUSUM_THRESHOLDS = {5, 7, 9, 12, 16};
  private static final double[] MAX_BURN_RATES = {3, 5, 8};
  private static final double ERROR_BUDGET = 0.05;
  private static final int MIN_BAD_REQUESTS = 3;
  private static final int QUIET_HOURS = 100;
  private static final double QUIET_BAD_PROBABILITY = 0.03;

  private final List<Path> files;

  /** Creates a benchmark of the scenarios in files that {@link DetectorScenarioRecorder} wrote. */
  DegradationDetectorBenchmark(List<Path> files) {
    this.files = files;
  }

  @Override
  public void run() throws Exception {
    List<RecordedScenario> scenarios = readScenarios();
    System.out.println(
        scenarios.size()
            + " recorded scenarios, of which kept all rules: "
            + scenarios.stream().filter(RecordedScenario::rulesKept).count());
    System.out.println(
        "| detector | falls | told | delay s p50 / p90 | false alarms / all | false an hour"
            + " (gateway) | false in 100 h of quiet draws: 2, 20, 100 a second |\n"
            + "| --- | --- | --- | --- | --- | --- | --- |");
    detectors().forEach((name, newDetector) -> printScore(name, newDetector, scenarios));
  }

  private List<RecordedScenario> readScenarios() throws IOException {
    List<RecordedScenario> scenarios = new ArrayList<>();
    for (Path file : files) {
      for (String line : Files.readAllLines(file)) {
        scenarios.add(RecordedScenario.parse(line));
      }
    }
    return scenarios;
  }

  /** The compared detectors by their names in the printed table. */
  private static Map<String, Supplier<ChangeDetector>> detectors() {
    Map<String, Supplier<ChangeDetector>> detectors = new LinkedHashMap<>();
    for (double threshold : CUSUM_THRESHOLDS) {
      detectors.put(
          "cumulative sum, threshold " + threshold,
          () -> new CusumDetector(CusumDetector.Options.DEFAULT.withAlarmThreshold(threshold)));
    }
    for (double maxBurnRate : MAX_BURN_RATES) {
      detectors.put(
          "burn rate 3 s and 12 s, " + maxBurnRate + " times 5 %",
          () ->
              new BurnRateDetector(
                  burnRateOptions(maxBurnRate, 3 * SECOND_MICROS, 12 * SECOND_MICROS)));
    }
    detectors.put(
        "burn rate 1 s and 5 s, 5.0 times 5 %",
        () -> new BurnRateDetector(burnRateOptions(5, SECOND_MICROS, 5 * SECOND_MICROS)));
    return detectors;
  }

  private static BurnRateDetector.Options burnRateOptions(
      double maxBurnRate, long shortWindowMicros, long longWindowMicros) {
    return new BurnRateDetector.Options(
        ERROR_BUDGET,
        maxBurnRate,
        MIN_BAD_REQUESTS,
        shortWindowMicros,
        longWindowMicros,
        3 * SECOND_MICROS);
  }

  private static void printScore(
      String name, Supplier<ChangeDetector> newDetector, List<RecordedScenario> scenarios) {
    DetectorScore score = new DetectorScore(newDetector);
    scenarios.forEach(score::add);
    System.out.printf(
        Locale.ROOT,
        "| %s | %d | %d (%.0f %%) | %.2f / %.2f | %d / %d | %.1f | %d, %d, %d" + " |%n",
        name,
        score.degradations(),
        score.detected(),
        100.0 * score.detected() / Math.max(1, score.degradations()),
        score.delaySeconds(0.5),
        score.delaySeconds(0.9),
        score.falseAlarms(),
        score.alarms(),
        score.falseAlarmsPerHour(),
        countQuietAlarms(newDetector, 2),
        countQuietAlarms(newDetector, 20),
        countQuietAlarms(newDetector, 100));
  }

  /**
   * Counts the alarms in 100 hours of generated requests, each of which is bad with a probability
   * of 3 %. Every such alarm is false.
   */
  private static int countQuietAlarms(Supplier<ChangeDetector> newDetector, int requestsPerSecond) {
    SplittableRandom random = new SplittableRandom(requestsPerSecond);
    ChangeDetector detector = newDetector.get();
    int alarms = 0;
    for (long second = 1; second <= TimeUnit.HOURS.toSeconds(QUIET_HOURS); second++) {
      int bad = drawBadRequests(random, requestsPerSecond);
      boolean wasDegraded = detector.isDegraded();
      detector.observe(second * SECOND_MICROS, requestsPerSecond - bad, bad);
      alarms += !wasDegraded && detector.isDegraded() ? 1 : 0;
    }
    return alarms;
  }

  private static int drawBadRequests(SplittableRandom random, int requests) {
    int bad = 0;
    for (int i = 0; i < requests; i++) {
      if (random.nextDouble() < QUIET_BAD_PROBABILITY) {
        bad++;
      }
    }
    return bad;
  }
}
