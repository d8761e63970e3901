package lemondock.exporter;

import java.util.List;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.net.time.ManualLoop;

/**
 * An exporter that exports once a second, on a clock that the test advances. The first snapshot's
 * timestamp is 1,001 s.
 */
public final class ExporterFixture {
  /** One second in microseconds. */
  public static final long SECOND = 1_000_000;

  /** A family with one counter. */
  public static final MetricFamily FAMILY =
      MetricFamily.ofFields(
          "count", List.of(), "", new MetricField("n", MetricField.Kind.COUNTER, 0, "1", ""));

  private static final PeriodicExporter.Options OPTIONS =
      new PeriodicExporter.Options(SECOND, 1, 1 << 20, 100, 3_600 * SECOND);

  public final ManualLoop loop = new ManualLoop(1_000_000_000L);
  public final MetricRegistry registry = new MetricRegistry(4096);
  public final Series series = registry.series(FAMILY);
  public final Recorder recorder = registry.newRecorder();
  public final PeriodicExporter exporter = new PeriodicExporter(loop, registry, OPTIONS);

  /** Increments the counter and advances the clock by a second, {@code seconds} times. */
  public void countEachSecond(int seconds) {
    for (int i = 0; i < seconds; i++) {
      recorder.increment(series.firstSlot());
      loop.advance(SECOND);
    }
  }
}
