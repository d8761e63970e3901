package lemondock.exporter;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import lemondock.metrics.Series;

/**
 * Caches a value computed for each series of one registry, such as its name in a protocol. Not
 * thread-safe.
 */
public final class SeriesCache<T> {
  private final Function<Series, T> compute;

  /** Computed values by index of the series; null if not computed yet. */
  private final List<T> values = new ArrayList<>();

  /** Creates an empty cache; {@code compute} is called once for each series. */
  public SeriesCache(Function<Series, T> compute) {
    this.compute = compute;
  }

  /** The value for a series, computed on the first call for it. */
  public T get(Series series) {
    while (values.size() <= series.index()) {
      values.add(null);
    }
    T value = values.get(series.index());
    if (value == null) {
      value = compute.apply(series);
      values.set(series.index(), value);
    }
    return value;
  }
}
