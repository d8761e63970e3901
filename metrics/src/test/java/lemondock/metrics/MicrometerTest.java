package lemondock.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Export of snapshots as Micrometer meters, and reading of Micrometer gauges. */
class MicrometerTest {
  private static final MetricFamily FAMILY =
      MetricFamily.ofFields(
          "pair",
          List.of("who"),
          "two counters",
          new MetricField("left", MetricField.Kind.COUNTER, 0, "1", ""),
          new MetricField("right", MetricField.Kind.COUNTER, 0, "1", ""));

  @Test
  void metersReturnValuesOfTheLatestSnapshot() {
    MetricRegistry registry = new MetricRegistry(4096);
    Series series = registry.series(FAMILY, "a");
    registry.newRecorder().increment(series.slot(1));
    SimpleMeterRegistry meterRegistry = new SimpleMeterRegistry();
    MicrometerMeterBinder binder = new MicrometerMeterBinder();
    binder.bindTo(meterRegistry);
    binder.update(registry.snapshotAndEndInterval());
    assertEquals(
        1, meterRegistry.get("lemondock.pair.right").tag("who", "a").functionCounter().count());
  }

  @Test
  void gaugesAreReadEvenIfNotFinite() {
    SimpleMeterRegistry meterRegistry = new SimpleMeterRegistry();
    Gauge.builder("odd", () -> Double.POSITIVE_INFINITY).register(meterRegistry);
    List<String> read = new ArrayList<>();
    MicrometerGauges.forEach(meterRegistry, (name, value) -> read.add(name + "=" + value));
    assertEquals(List.of("odd=Infinity"), read);
  }
}
