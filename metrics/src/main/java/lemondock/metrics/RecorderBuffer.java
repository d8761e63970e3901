package lemondock.metrics;

import java.util.concurrent.atomic.AtomicReferenceArray;
import org.HdrHistogram.Histogram;

/**
 * The values that one thread has recorded since the buffer was last drained. Slots are kept in
 * chunks, each allocated on its first use. The recorder's thread writes to the buffer within an
 * update; the thread that takes a snapshot reads and drains it while it is inactive.
 */
final class RecorderBuffer {
  /** Longest duration that is recorded, one hour; longer ones are recorded as one hour. */
  static final long MAX_DURATION_MICROS = 3_600_000_000L;

  /** Two digits limit the relative error of a quantile to 1 %. */
  private static final int SIGNIFICANT_DIGITS = 2;

  private static final int CHUNK_BITS = 10;
  private static final int CHUNK_SLOTS = 1 << CHUNK_BITS;
  private static final int COUNT_FIELD = 0;
  private static final int SUM_FIELD = 1;

  private final AtomicReferenceArray<long[]> chunks;
  private final AtomicReferenceArray<Histogram> histograms;

  RecorderBuffer(int maxSlots, int maxSeries) {
    chunks = new AtomicReferenceArray<>(chunkCount(maxSlots));
    histograms = new AtomicReferenceArray<>(maxSeries);
  }

  static int chunkCount(int slots) {
    return (slots + CHUNK_SLOTS - 1) / CHUNK_SLOTS;
  }

  static int chunkOf(int slot) {
    return slot >> CHUNK_BITS;
  }

  static int offsetInChunk(int slot) {
    return slot & CHUNK_SLOTS - 1;
  }

  static long[] newChunk() {
    return new long[CHUNK_SLOTS];
  }

  static Histogram newHistogram() {
    return new Histogram(MAX_DURATION_MICROS, SIGNIFICANT_DIGITS);
  }

  /** Adds {@code delta}, in the smallest unit of the field, to a slot. */
  void add(int slot, long delta) {
    long[] chunk = chunks.getPlain(chunkOf(slot));
    if (chunk == null) {
      chunk = newChunk();
      chunks.setRelease(chunkOf(slot), chunk);
    }
    chunk[offsetInChunk(slot)] += delta;
  }

  /** Adds a duration to the histogram, the count and the sum of a duration summary. */
  void observe(Series series, long micros) {
    long bounded = Math.min(Math.max(0, micros), MAX_DURATION_MICROS);
    Histogram histogram = histograms.getPlain(series.index());
    if (histogram == null) {
      histogram = newHistogram();
      histograms.setRelease(series.index(), histogram);
    }
    histogram.recordValue(bounded);
    add(series.slot(COUNT_FIELD), 1);
    add(series.slot(SUM_FIELD), bounded);
  }

  /** Adds the values of all slots to the totals and resets the slots to zero. */
  void drainSlotsTo(long[] totals) {
    for (int i = 0; i < chunks.length(); i++) {
      long[] chunk = chunks.get(i);
      if (chunk != null) {
        drainChunk(chunk, totals, i * CHUNK_SLOTS);
      }
    }
  }

  private static void drainChunk(long[] chunk, long[] totals, int firstSlot) {
    for (int i = 0; i < chunk.length; i++) {
      if (chunk[i] != 0) {
        totals[firstSlot + i] += chunk[i];
        chunk[i] = 0;
      }
    }
  }

  /** Adds the durations recorded for a series to the target and clears them. */
  void drainHistogramTo(Series series, Histogram target) {
    Histogram histogram = histograms.get(series.index());
    if (histogram != null && histogram.getTotalCount() > 0) {
      target.add(histogram);
      histogram.reset();
    }
  }
}
