package lemondock.metrics;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.function.ObjDoubleConsumer;

/** Reads the gauges of a Micrometer registry. */
public final class MicrometerGauges {
  private MicrometerGauges() {}

  /**
   * Calls the consumer for each gauge with its name, followed by its tag values with a space before
   * each, and its current value, which may be NaN or infinite.
   */
  public static void forEach(MeterRegistry registry, ObjDoubleConsumer<String> consumer) {
    for (Meter meter : registry.getMeters()) {
      if (meter instanceof Gauge gauge) {
        consumer.accept(nameWithTagValues(meter), gauge.value());
      }
    }
  }

  private static String nameWithTagValues(Meter meter) {
    StringBuilder name = new StringBuilder(meter.getId().getName());
    meter.getId().getTags().forEach(tag -> name.append(' ').append(tag.getValue()));
    return name.toString();
  }
}
