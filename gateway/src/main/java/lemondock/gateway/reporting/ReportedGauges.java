package lemondock.gateway.reporting;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.LinkedHashMap;
import java.util.Map;
import lemondock.anomaly.DegradationDetector;
import lemondock.metrics.MeterView;
import lemondock.metrics.Metrics;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;
import lemondock.metrics.Tally;

/**
 * Sets the gauges that are read once a tick: those of the process and those of the detector.
 * Reports' loop only.
 */
final class ReportedGauges {
  private static final int MAX_PROCESS_METERS = 200;
  private static final double VALUE_SCALE = 1_000;

  private final Tally tally;
  private final MeterRegistry processMeters;
  private final DegradationDetector detector;
  private final Map<String, Series> processSeries = new LinkedHashMap<>();
  private final Map<DegradationDetector.Key, Series> degradations = new LinkedHashMap<>();
  private final Series notFinite;
  private long notFiniteCount;

  ReportedGauges(Tally tally, MeterRegistry processMeters, DegradationDetector detector) {
    this.tally = tally;
    this.processMeters = processMeters;
    this.detector = detector;
    this.notFinite = tally.series(Metrics.BOUNDS, "not_finite");
  }

  /** Sets all of them; within a group of the recorder. */
  void record(Recorder recorder) {
    MeterView.gauges(processMeters, (name, value) -> recordProcess(recorder, name, value));
    recorder.set(notFinite.first(), notFiniteCount);
    for (DegradationDetector.Sight sight : detector.sights()) {
      Series series =
          degradations.computeIfAbsent(
              sight.key(), key -> tally.series(Metrics.FALL, key.what(), key.zone()));
      recorder.set(series.slot(0), sight.fallen() ? 1 : 0);
      recorder.set(series.slot(1), sight.falls());
      recorder.set(series.slot(2), Math.round(sight.level() * VALUE_SCALE));
    }
  }

  private void recordProcess(Recorder recorder, String name, double value) {
    Series series = processSeries.get(name);
    if (series == null && processSeries.size() < MAX_PROCESS_METERS) {
      series = tally.series(Metrics.PROCESS, name);
      processSeries.put(name, series);
    }
    if (series == null) {
      return;
    }
    boolean finite = Double.isFinite(value) && Math.abs(value) < Long.MAX_VALUE / (2 * VALUE_SCALE);
    notFiniteCount += finite ? 0 : 1;
    recorder.set(series.first(), finite ? Math.round(value * VALUE_SCALE) : Snapshot.ABSENT);
  }
}
