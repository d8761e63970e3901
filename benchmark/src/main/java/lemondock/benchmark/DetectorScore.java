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
 * How well a detector found the degradations of recorded scenarios. An alarm matches a degradation
 * of the same gateway and class; {@link DegradationDetector#ALL} matches every class.
 */
final class DetectorScore {
  private static final long SECOND_MICROS = TimeUnit.SECONDS.toMicros(1);
  private static final double HOUR_MICROS = TimeUnit.HOURS.toMicros(1);

  /** An alarm up to this long after the end of a degradation still detects it. */
  private static final long DETECTED_WITHIN_MICROS = 3 * SECOND_MICROS;

  /** An alarm up to this long after the end of a degradation is not counted as false. */
  private static final long CAUSED_WITHIN_MICROS = 4 * SECOND_MICROS;

  private final Supplier<ChangeDetector> newChangeDetector;
  private final List<Double> delaysSeconds = new ArrayList<>();
  private int degradations;
  private int alarms;
  private int falseAlarms;
  private double observedHours;

  /**
   * Creates the score of a detector.
   *
   * @param newChangeDetector creates the change detector that the detector runs for each class
   */
  DetectorScore(Supplier<ChangeDetector> newChangeDetector) {
    this.newChangeDetector = newChangeDetector;
  }

  /** Runs the detector over a scenario and adds its detections and alarms to the score. */
  void add(RecordedScenario scenario) {
    scenario
        .observationsByGateway()
        .forEach(
            (gateway, observations) -> {
              Map<String, List<Degradation>> degradationsByKey = new TreeMap<>();
              scenario
                  .callsByGateway()
                  .getOrDefault(gateway, Map.of())
                  .forEach((key, calls) -> degradationsByKey.put(key, Degradation.find(calls)));
              long observedMicros =
                  observations.get(observations.size() - 1).atMicros()
                      - observations.get(0).atMicros();
              observedHours += observedMicros / HOUR_MICROS;
              Map<String, List<Long>> alarmsByKey = runDetector(observations);
              addDetections(degradationsByKey, alarmsByKey);
              addAlarms(degradationsByKey, alarmsByKey);
            });
  }

  /** Runs the detector over the observations of a gateway; returns the times of alarms by class. */
  private Map<String, List<Long>> runDetector(List<Observation> observations) {
    Map<String, List<Long>> alarmsByKey = new TreeMap<>();
    DegradationDetector detector = new DegradationDetector(newChangeDetector);
    long previousTotal = 0;
    for (Observation observation : observations) {
      boolean gatewayRestarted = observation.total() < previousTotal;
      if (gatewayRestarted) {
        detector = new DegradationDetector(newChangeDetector);
      }
      previousTotal = observation.total();
      for (DegradationChange change :
          detector.observe(observation.atMicros(), counts(observation), List.of())) {
        if (change.isStart()) {
          alarmsByKey
              .computeIfAbsent(change.scope().name(), ignored -> new ArrayList<>())
              .add(observation.atMicros());
        }
      }
    }
    return alarmsByKey;
  }

  private static List<EventCounts> counts(Observation observation) {
    List<EventCounts> counts = new ArrayList<>();
    observation
        .countsByClass()
        .forEach(
            (requestClass, count) ->
                counts.add(
                    new EventCounts(
                        new ServiceScope(requestClass, "z"), count.good(), count.bad())));
    return counts;
  }

  private void addDetections(
      Map<String, List<Degradation>> degradationsByKey, Map<String, List<Long>> alarmsByKey) {
    degradationsByKey.forEach(
        (key, degradationsOfKey) -> {
          for (Degradation degradation : degradationsOfKey) {
            degradations++;
            alarmsByKey.entrySet().stream()
                .filter(entry -> matches(key, entry.getKey()))
                .flatMap(entry -> entry.getValue().stream())
                .filter(alarmMicros -> degradation.includes(alarmMicros, DETECTED_WITHIN_MICROS))
                .min(Long::compare)
                .ifPresent(alarmMicros -> addDelay(alarmMicros - degradation.fromMicros()));
          }
        });
  }

  private void addDelay(long delayMicros) {
    delaysSeconds.add(delayMicros / (double) SECOND_MICROS);
  }

  private void addAlarms(
      Map<String, List<Degradation>> degradationsByKey, Map<String, List<Long>> alarmsByKey) {
    alarmsByKey.forEach(
        (key, alarmTimes) -> {
          for (long alarmMicros : alarmTimes) {
            alarms++;
            boolean hasCause =
                degradationsByKey.entrySet().stream()
                    .filter(entry -> matches(key, entry.getKey()))
                    .flatMap(entry -> entry.getValue().stream())
                    .anyMatch(
                        degradation -> degradation.includes(alarmMicros, CAUSED_WITHIN_MICROS));
            falseAlarms += hasCause ? 0 : 1;
          }
        });
  }

  private static boolean matches(String key, String otherKey) {
    return key.equals(otherKey)
        || key.equals(DegradationDetector.ALL)
        || otherKey.equals(DegradationDetector.ALL);
  }

  /** The number of degradations that clients observed. */
  int degradations() {
    return degradations;
  }

  /** The number of degradations that an alarm detected. */
  int detected() {
    return delaysSeconds.size();
  }

  int alarms() {
    return alarms;
  }

  int falseAlarms() {
    return falseAlarms;
  }

  /** The false alarms per hour of observation of one gateway. */
  double falseAlarmsPerHour() {
    return falseAlarms / Math.max(1e-9, observedHours);
  }

  /**
   * A quantile of the delays from the start of a degradation to its first alarm; NaN if no
   * degradation was detected.
   *
   * @param quantile from 0 to 1
   */
  double delaySeconds(double quantile) {
    if (delaysSeconds.isEmpty()) {
      return Double.NaN;
    }
    List<Double> sorted = new ArrayList<>(delaysSeconds);
    Collections.sort(sorted);
    return sorted.get((int) Math.min(sorted.size() - 1, sorted.size() * quantile));
  }
}
