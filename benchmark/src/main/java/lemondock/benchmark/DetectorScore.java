package lemondock.benchmark;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.anomaly.ChangeDetector;
import lemondock.anomaly.DegradationChange;
import lemondock.anomaly.DegradationDetector;
import lemondock.anomaly.EventCounts;
import lemondock.anomaly.ServiceScope;
import lemondock.benchmark.RecordedScenario.Observation;

/**
 * How well a detector found the degradations of recorded scenarios. An alarm belongs to a
 * degradation of the same gateway and class, where all classes together match each of them.
 */
final class DetectorScore {
  private static final long SECOND_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final double HOUR_MICROS = TimeUnit.HOURS.toMicros(1);

  /** An alarm detects a degradation until so long after its end. */
  private static final long DETECTED_WITHIN_MICROS = 3 * SECOND_MICROS;

  /** An alarm is not false until so long after a degradation's end. */
  private static final long CAUSED_WITHIN_MICROS = 4 * SECOND_MICROS;

  private final Supplier<ChangeDetector> newChangeDetector;
  private final List<Double> delaysSeconds = new ArrayList<>();
  private int degradations;
  private int alarms;
  private int falseAlarms;
  private double observedHours;

  /** Makes the score of a detector that judges each class by such a change detector. */
  DetectorScore(Supplier<ChangeDetector> newChangeDetector) {
    this.newChangeDetector = newChangeDetector;
  }

  /** Runs the detector over a scenario and adds what it found. */
  void add(RecordedScenario scenario) {
    scenario
        .observationsByGateway()
        .forEach(
            (gateway, looks) -> {
              Map<String, List<Degradation>> truth = new TreeMap<>();
              scenario
                  .callsByGateway()
                  .getOrDefault(gateway, Map.of())
                  .forEach((key, calls) -> truth.put(key, Degradation.find(calls)));
              long observedMicros =
                  looks.get(looks.size() - 1).atMicros() - looks.get(0).atMicros();
              observedHours += observedMicros / HOUR_MICROS;
              Map<String, List<Long>> alarmsByKey = runDetector(looks);
              addDetections(truth, alarmsByKey);
              addAlarms(truth, alarmsByKey);
            });
  }

  /** Runs the detector over what it saw; gives the moments of its alarms by class. */
  private Map<String, List<Long>> runDetector(List<Observation> looks) {
    Map<String, List<Long>> alarmsByKey = new TreeMap<>();
    DegradationDetector detector = new DegradationDetector(newChangeDetector);
    long previousTotal = 0;
    for (Observation look : looks) {
      boolean gatewayRestarted = look.total() < previousTotal;
      if (gatewayRestarted) {
        detector = new DegradationDetector(newChangeDetector);
      }
      previousTotal = look.total();
      for (DegradationChange change : detector.observe(look.atMicros(), counts(look), List.of())) {
        if (change.isStart()) {
          alarmsByKey
              .computeIfAbsent(change.scope().name(), absent -> new ArrayList<>())
              .add(look.atMicros());
        }
      }
    }
    return alarmsByKey;
  }

  private static List<EventCounts> counts(Observation look) {
    List<EventCounts> counts = new ArrayList<>();
    look.countsByClass()
        .forEach(
            (requestClass, count) ->
                counts.add(
                    new EventCounts(
                        new ServiceScope(requestClass, "z"), count.good(), count.bad())));
    return counts;
  }

  private void addDetections(
      Map<String, List<Degradation>> truth, Map<String, List<Long>> alarmsByKey) {
    truth.forEach(
        (key, all) -> {
          for (Degradation degradation : all) {
            degradations++;
            alarmsByKey.entrySet().stream()
                .filter(entry -> matches(key, entry.getKey()))
                .flatMap(entry -> entry.getValue().stream())
                .filter(alarm -> degradation.includes(alarm, DETECTED_WITHIN_MICROS))
                .min(Long::compare)
                .ifPresent(alarm -> addDelay(alarm - degradation.fromMicros()));
          }
        });
  }

  private void addDelay(long delayMicros) {
    delaysSeconds.add(delayMicros / (double) SECOND_MICROS);
  }

  private void addAlarms(
      Map<String, List<Degradation>> truth, Map<String, List<Long>> alarmsByKey) {
    alarmsByKey.forEach(
        (key, moments) -> {
          for (long alarm : moments) {
            alarms++;
            boolean isCaused =
                truth.entrySet().stream()
                    .filter(entry -> matches(key, entry.getKey()))
                    .flatMap(entry -> entry.getValue().stream())
                    .anyMatch(degradation -> degradation.includes(alarm, CAUSED_WITHIN_MICROS));
            falseAlarms += isCaused ? 0 : 1;
          }
        });
  }

  private static boolean matches(String key, String other) {
    return key.equals(other)
        || key.equals(DegradationDetector.ALL)
        || other.equals(DegradationDetector.ALL);
  }

  /** Degradations that there were. */
  int degradations() {
    return degradations;
  }

  /** Those of them that an alarm told of. */
  int detected() {
    return delaysSeconds.size();
  }

  int alarms() {
    return alarms;
  }

  int falseAlarms() {
    return falseAlarms;
  }

  /** False alarms in an hour of one gateway. */
  double falseAlarmsPerHour() {
    return falseAlarms / Math.max(1e-9, observedHours);
  }

  /**
   * The delay that this part of the detected degradations did not exceed; NaN if there are none.
   */
  double delaySeconds(double share) {
    if (delaysSeconds.isEmpty()) {
      return Double.NaN;
    }
    List<Double> sorted = new ArrayList<>(delaysSeconds);
    Collections.sort(sorted);
    return sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * share));
  }
}
