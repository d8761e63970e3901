package lemondock.gateway.reporting;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.anomaly.DegradationDetector;
import lemondock.anomaly.ScopeStatus;
import lemondock.anomaly.ServiceScope;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.MicrometerGauges;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;

/**
 * Sets the gauges that are read once per tick: those of the process and those of the degradation
 * detector. Reporting loop only.
 */
final class ReportedGauges {
  private static final int MAX_PROCESS_METERS = 200;
  private static final double VALUE_SCALE = 1_000;

  // Fields of MetricFamilies.DEGRADATIONS.
  private static final int IS_DEGRADED = 0;
  private static final int DEGRADATION_COUNT = 1;
  private static final int EVIDENCE = 2;

  private final MetricRegistry registry;
  private final MeterRegistry processMeters;
  private final DegradationDetector detector;
  private final Map<String, Series> processSeries = new LinkedHashMap<>();
  private final Map<ServiceScope, Series> degradations = new LinkedHashMap<>();

  /** Counts readings that are not finite or too large for a metric value. */
  private final Series notFinite;

  private long notFiniteCount;

  ReportedGauges(
      MetricRegistry registry, MeterRegistry processMeters, DegradationDetector detector) {
    this.registry = registry;
    this.processMeters = processMeters;
    this.detector = detector;
    this.notFinite = registry.series(MetricFamilies.LABEL_OVERFLOWS, "not_finite");
  }

  /** Sets all gauges; call it within an update of the recorder. */
  void record(Recorder recorder) {
    MicrometerGauges.forEach(processMeters, (name, value) -> recordProcess(recorder, name, value));
    recorder.set(notFinite.firstSlot(), notFiniteCount);
    for (ScopeStatus status : detector.scopeStatuses()) {
      Series series =
          degradations.computeIfAbsent(
              status.scope(),
              scope -> registry.series(MetricFamilies.DEGRADATIONS, scope.name(), scope.zone()));
      recorder.set(series.slot(IS_DEGRADED), status.isDegraded() ? 1 : 0);
      recorder.set(series.slot(DEGRADATION_COUNT), status.degradationCount());
      recorder.set(series.slot(EVIDENCE), Math.round(status.evidence() * VALUE_SCALE));
    }
  }

  private void recordProcess(Recorder recorder, String name, double value) {
    Series series = processSeries.get(name);
    if (series == null && processSeries.size() < MAX_PROCESS_METERS) {
      series = registry.series(MetricFamilies.PROCESS, name);
      processSeries.put(name, series);
    }
    if (series == null) {
      return;
    }
    boolean finite = Double.isFinite(value) && Math.abs(value) < Long.MAX_VALUE / (2 * VALUE_SCALE);
    notFiniteCount += finite ? 0 : 1;
    recorder.set(
        series.firstSlot(), finite ? Math.round(value * VALUE_SCALE) : MetricsSnapshot.NO_VALUE);
  }
}
