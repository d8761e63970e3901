package lemondock.metrics;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Assigns slots to series, up to a limit. Each family of {@link MetricFamilies} has slots reserved
 * for its overflow series, which replaces all of its series beyond the limit. Thread-safe: all
 * state is guarded by this object's lock.
 */
final class SeriesTable {
  private final int maxSlots;
  private final Map<MetricFamily, Map<List<String>, Series>> seriesByLabels = new HashMap<>();
  private final List<Series> allSeries = new ArrayList<>();
  private int usedSlots;
  private int reservedSlots;
  private long rejectedCount;

  SeriesTable(int maxSlots) {
    this.maxSlots = maxSlots;
    this.reservedSlots =
        MetricFamilies.ALL.stream().mapToInt(family -> family.fields().size()).sum();
  }

  /** The existing series, in the order of their index, and the number of slots they occupy. */
  record Contents(List<Series> series, int usedSlots) {}

  synchronized Contents contents() {
    return new Contents(List.copyOf(allSeries), usedSlots);
  }

  synchronized long rejectedCount() {
    return rejectedCount;
  }

  /** See {@link MetricRegistry#series}. */
  synchronized Series findOrCreate(MetricFamily family, String... labelValues) {
    checkLabelCount(family, labelValues);
    Map<List<String>, Series> seriesOfFamily =
        seriesByLabels.computeIfAbsent(family, newFamily -> new HashMap<>());
    List<String> key = List.of(labelValues);
    Series found = seriesOfFamily.get(key);
    if (found == null && !isOverflow(key) && !hasFreeSlotsFor(family)) {
      rejectedCount++;
      key = Collections.nCopies(labelValues.length, LabelCardinalityLimit.OVERFLOW);
      found = seriesOfFamily.get(key);
    }
    if (found == null) {
      found = create(family, key);
      seriesOfFamily.put(key, found);
    }
    return found;
  }

  private static void checkLabelCount(MetricFamily family, String[] labelValues) {
    if (labelValues.length != family.labelNames().size()) {
      throw new IllegalArgumentException(
          "metric family "
              + family.name()
              + ": expected a value for each of the labels "
              + family.labelNames()
              + ", found "
              + Arrays.toString(labelValues));
    }
  }

  private boolean hasFreeSlotsFor(MetricFamily family) {
    return usedSlots + family.fields().size() <= maxSlots - reservedSlots;
  }

  private Series create(MetricFamily family, List<String> labelValues) {
    int slots = family.fields().size();
    if (isOverflow(labelValues) && MetricFamilies.ALL.contains(family)) {
      if (usedSlots + slots > maxSlots) {
        throw noSlotsLeft(family);
      }
      reservedSlots -= slots;
    } else if (!hasFreeSlotsFor(family)) {
      throw noSlotsLeft(family);
    }
    Series series = new Series(allSeries.size(), family, labelValues, usedSlots);
    usedSlots += slots;
    allSeries.add(series);
    return series;
  }

  private IllegalStateException noSlotsLeft(MetricFamily family) {
    return new IllegalStateException(
        "no free slots for a new series of metric family "
            + family.name()
            + "; raise the limit of "
            + maxSlots
            + " slots");
  }

  /**
   * Returns whether the labels are those of an overflow series, for which slots are reserved: all
   * values are the overflow value, or there are no labels.
   */
  private static boolean isOverflow(List<String> labelValues) {
    return labelValues.stream().allMatch(LabelCardinalityLimit.OVERFLOW::equals);
  }
}
