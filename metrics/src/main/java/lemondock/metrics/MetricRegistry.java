package lemondock.metrics;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.HdrHistogram.Histogram;

/**
 * The metrics of a process. Each thread records through its own {@link Recorder}; a snapshot merges
 * all recorders on the thread that takes it. Callers look up a {@link Series} once and keep it, so
 * that recording needs no look-up.
 */
public final class MetricRegistry {
  private static final double[] QUANTILE_PERCENTAGES = {50, 90, 99, 99.9};

  /** Position of the first quantile among the fields of a duration summary. */
  private static final int FIRST_QUANTILE_FIELD = 2;

  private static final int MAX_FIELD = FIRST_QUANTILE_FIELD + QUANTILE_PERCENTAGES.length;

  private final int maxSlots;
  private final SeriesTable seriesTable;
  private final List<Recorder> recorders = new CopyOnWriteArrayList<>();

  /** Values by slot as of the last snapshot. Used only by the thread that takes a snapshot. */
  private final long[] totals;

  /** Durations of the current interval by series index. Used only while taking a snapshot. */
  private final Map<Integer, Histogram> intervalHistograms = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param maxSlots limit on the number of values of all families together, in addition to the
   *     limits of single labels
   */
  public MetricRegistry(int maxSlots) {
    this.maxSlots = maxSlots;
    this.seriesTable = new SeriesTable(maxSlots);
    this.totals = new long[maxSlots];
  }

  /** Creates a recorder for one thread. May be called on any thread. */
  public Recorder newRecorder() {
    int maxSeries = maxSlots; // a series has at least one slot
    Recorder recorder = new Recorder(maxSlots, maxSeries);
    recorders.add(recorder);
    return recorder;
  }

  /**
   * Returns the series of a family with the given label values and creates it if it does not exist.
   * Once the slots are used up, all label values of a new series become {@link
   * LabelCardinalityLimit#OVERFLOW}; slots for such an overflow series are reserved for each family
   * of {@link MetricFamilies}. May be called on any thread.
   *
   * @throws IllegalArgumentException if the number of label values differs from the number of the
   *     family's labels
   * @throws IllegalStateException if there is no slot left even for the overflow series
   */
  public Series series(MetricFamily family, String... labelValues) {
    return seriesTable.findOrCreate(family, labelValues);
  }

  /**
   * Returns how many calls of {@link #series} found no free slots for a new series. May be called
   * on any thread.
   */
  public long rejectedSeriesCount() {
    return seriesTable.rejectedCount();
  }

  /**
   * Merges what all threads have recorded, without stopping any of them. The interval that
   * quantiles cover continues. May be called on any thread, but only by one thread at a time.
   */
  public MetricsSnapshot snapshot() {
    return merge(false);
  }

  /** Does the same as {@link #snapshot} and begins a new interval for quantiles. */
  public MetricsSnapshot snapshotAndEndInterval() {
    return merge(true);
  }

  private MetricsSnapshot merge(boolean endsInterval) {
    List<RecorderBuffer> buffers = new ArrayList<>();
    for (Recorder recorder : recorders) {
      buffers.add(recorder.swapBuffers());
    }
    // Read after the swap, so that it includes the series of everything recorded in the buffers.
    SeriesTable.Contents contents = seriesTable.contents();
    for (RecorderBuffer buffer : buffers) {
      buffer.drainSlotsTo(totals);
    }
    for (Series series : contents.series()) {
      if (series.family().type() == MetricFamily.Type.DURATION_SUMMARY) {
        updateQuantiles(series, buffers, endsInterval);
      }
    }
    return new MetricsSnapshot(contents.series(), Arrays.copyOf(totals, contents.usedSlots()));
  }

  private void updateQuantiles(Series series, List<RecorderBuffer> buffers, boolean endsInterval) {
    Histogram histogram =
        intervalHistograms.computeIfAbsent(series.index(), index -> RecorderBuffer.newHistogram());
    for (RecorderBuffer buffer : buffers) {
      buffer.drainHistogramTo(series, histogram);
    }
    boolean isEmpty = histogram.getTotalCount() == 0;
    for (int i = 0; i < QUANTILE_PERCENTAGES.length; i++) {
      totals[series.slot(FIRST_QUANTILE_FIELD + i)] =
          isEmpty
              ? MetricsSnapshot.NO_VALUE
              : histogram.getValueAtPercentile(QUANTILE_PERCENTAGES[i]);
    }
    totals[series.slot(MAX_FIELD)] = isEmpty ? MetricsSnapshot.NO_VALUE : histogram.getMaxValue();
    if (endsInterval && !isEmpty) {
      histogram.reset();
    }
  }
}
