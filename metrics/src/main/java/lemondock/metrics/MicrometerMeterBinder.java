package lemondock.metrics;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.ArrayList;
import java.util.List;

/**
 * Exposes the latest snapshot of a {@link MetricRegistry} as Micrometer meters in any number of
 * Micrometer registries. Recording itself does not go through Micrometer: Micrometer's meters are
 * updated one by one, so that a snapshot could include only part of the updates of one event.
 * Thread-safe.
 */
public final class MicrometerMeterBinder implements MeterBinder {
  private final List<MeterRegistry> registries = new ArrayList<>(); // guarded by this object's lock

  /** Read by Micrometer's meters on whichever thread scrapes them. */
  private volatile MetricsSnapshot latestSnapshot = MetricsSnapshot.EMPTY;

  private int boundSeriesCount; // guarded by this object's lock

  @Override
  public synchronized void bindTo(MeterRegistry registry) {
    registries.add(registry);
    for (Series series : latestSnapshot.series().subList(0, boundSeriesCount)) {
      bindSeries(registry, series);
    }
  }

  /** Replaces the snapshot whose values the meters return and registers meters of new series. */
  public synchronized void update(MetricsSnapshot snapshot) {
    latestSnapshot = snapshot;
    for (; boundSeriesCount < snapshot.series().size(); boundSeriesCount++) {
      for (MeterRegistry registry : registries) {
        bindSeries(registry, snapshot.series().get(boundSeriesCount));
      }
    }
  }

  private void bindSeries(MeterRegistry registry, Series series) {
    MetricFamily family = series.family();
    if (family.equals(MetricFamilies.PROCESS)) {
      return; // its values were read from a Micrometer registry in the first place
    }
    Tags tags = tags(series);
    for (int i = 0; i < family.fields().size(); i++) {
      MetricField field = family.fields().get(i);
      String name = "lemondock." + family.name() + "." + field.name();
      bindField(registry, name, tags, field, series.slot(i));
    }
  }

  private void bindField(
      MeterRegistry registry, String name, Tags tags, MetricField field, int slot) {
    if (field.kind() == MetricField.Kind.COUNTER) {
      FunctionCounter.builder(name, this, binder -> binder.latestValue(slot, field))
          .tags(tags)
          .description(field.help())
          .register(registry);
    } else {
      Gauge.builder(name, this, binder -> binder.latestValue(slot, field))
          .tags(tags)
          .description(field.help())
          .register(registry);
    }
  }

  private static Tags tags(Series series) {
    Tags tags = Tags.empty();
    for (int i = 0; i < series.labelValues().size(); i++) {
      tags = tags.and(series.family().labelNames().get(i), series.labelValues().get(i));
    }
    return tags;
  }

  private double latestValue(int slot, MetricField field) {
    long value = latestSnapshot.values()[slot];
    return value == MetricsSnapshot.NO_VALUE ? Double.NaN : field.toDouble(value);
  }
}
