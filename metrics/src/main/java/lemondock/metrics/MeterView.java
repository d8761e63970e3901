package lemondock.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;

/**
 * The tally as Micrometer's meters, and Micrometer's gauges as values of the tally. Counting itself
 * does not go through Micrometer: its meters are updated one by one, and a snapshot could then see
 * half of a request's end. Any registry that is bound to a view sees the values of the newest
 * snapshot.
 */
public final class MeterView implements MeterBinder {
  private final List<MeterRegistry> registries = new ArrayList<>();
  private volatile Snapshot newest = new Snapshot(List.of(), new long[0]);
  private int bound;

  @Override
  public synchronized void bindTo(MeterRegistry registry) {
    registries.add(registry);
    for (Series s : newest.series().subList(0, bound)) {
      bind(registry, s);
    }
  }

  /** Takes a newer snapshot; meters of new series are registered. */
  public synchronized void show(Snapshot snapshot) {
    newest = snapshot;
    for (; bound < snapshot.series().size(); bound++) {
      for (MeterRegistry registry : registries) {
        bind(registry, snapshot.series().get(bound));
      }
    }
  }

  private void bind(MeterRegistry registry, Series s) {
    if (s.family().equals(Metrics.PROCESS)) {
      return; // these came from a registry
    }
    Tags tags = Tags.empty();
    for (int i = 0; i < s.labels().size(); i++) {
      tags = tags.and(s.family().dimensions().get(i), s.labels().get(i));
    }
    for (int i = 0; i < s.family().fields().size(); i++) {
      Field field = s.family().fields().get(i);
      int slot = s.slot(i);
      String name = "lemondock." + s.family().name() + "." + field.name();
      if (field.kind() == Field.Kind.COUNTER) {
        FunctionCounter.builder(name, this, v -> v.value(slot, field))
            .tags(tags)
            .description(field.help())
            .register(registry);
      } else {
        Gauge.builder(name, this, v -> v.value(slot, field))
            .tags(tags)
            .description(field.help())
            .register(registry);
      }
    }
  }

  private double value(int slot, Field field) {
    long value = newest.values()[slot];
    return value == Snapshot.ABSENT ? Double.NaN : field.toDouble(value);
  }

  /**
   * Tells the gauges of a registry by name and tags; those without a finite value are told as NaN
   * or infinite.
   */
  public static void gauges(MeterRegistry registry, BiConsumer<String, Double> to) {
    for (Meter meter : registry.getMeters()) {
      if (meter instanceof Gauge gauge) {
        StringBuilder name = new StringBuilder(meter.getId().getName());
        meter.getId().getTags().forEach(t -> name.append(' ').append(t.getValue()));
        to.accept(name.toString(), gauge.value());
      }
    }
  }
}
