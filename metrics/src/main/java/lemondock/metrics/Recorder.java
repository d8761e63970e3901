package lemondock.metrics;

import org.HdrHistogram.WriterReaderPhaser;

/**
 * Records the metrics of one thread without locks or waiting. The thread writes to one of two
 * buffers. A snapshot swaps the buffers and waits until the thread has ended its update in the old
 * one, so that it sees either all or none of what was recorded between {@link #beginUpdate} and
 * {@link #endUpdate}. HdrHistogram's interval recorders work in the same way; here one swap covers
 * counters, gauges and durations together.
 *
 * <p>An update costs two uncontended atomic additions, and each count within it a plain addition.
 * Memory is allocated only on the first use of a chunk of slots or of a histogram.
 *
 * <p>Only the recorder's own thread may call the public methods.
 */
public final class Recorder {
  /** How long a snapshot sleeps between two checks whether the update has ended; nanoseconds. */
  private static final long FLIP_YIELD_NANOS = 10_000;

  private final WriterReaderPhaser phaser = new WriterReaderPhaser();

  /** This thread's part of each gauge, in chunks as in the buffers. Recorder's thread only. */
  private final long[][] gaugeValues;

  /** Written under the phaser's reader lock; read by the recorder's thread within an update. */
  private volatile RecorderBuffer activeBuffer;

  /** Guarded by the phaser's reader lock. */
  private RecorderBuffer inactiveBuffer;

  /** The buffer of the update in progress. Recorder's thread only. */
  private RecorderBuffer updateBuffer;

  Recorder(int maxSlots, int maxSeries) {
    this.gaugeValues = new long[RecorderBuffer.chunkCount(maxSlots)][];
    this.activeBuffer = new RecorderBuffer(maxSlots, maxSeries);
    this.inactiveBuffer = new RecorderBuffer(maxSlots, maxSeries);
  }

  /**
   * Begins an update. A snapshot includes either all of an update or none of it.
   *
   * @return the ticket to pass to {@link #endUpdate}
   */
  public long beginUpdate() {
    long ticket = phaser.writerCriticalSectionEnter();
    updateBuffer = activeBuffer;
    return ticket;
  }

  /** Ends the update whose {@link #beginUpdate} returned the ticket. */
  public void endUpdate(long ticket) {
    phaser.writerCriticalSectionExit(ticket);
  }

  /** Adds to a counter or gauge. Call only within an update. */
  public void add(int slot, long delta) {
    updateBuffer.add(slot, delta);
  }

  /**
   * Sets this thread's part of a gauge; a snapshot sums the parts of all threads. Call only within
   * an update.
   */
  public void set(int slot, long value) {
    int chunk = RecorderBuffer.chunkOf(slot);
    if (gaugeValues[chunk] == null) {
      gaugeValues[chunk] = RecorderBuffer.newChunk();
    }
    int offset = RecorderBuffer.offsetInChunk(slot);
    updateBuffer.add(slot, value - gaugeValues[chunk][offset]);
    gaugeValues[chunk][offset] = value;
  }

  /**
   * Records a duration in a series of type {@link MetricFamily.Type#DURATION_SUMMARY}. Negative
   * durations are recorded as zero, those above an hour as an hour. Call only within an update.
   */
  public void observe(Series series, long micros) {
    updateBuffer.observe(series, micros);
  }

  /** Adds one to a counter, as a separate update. */
  public void increment(int slot) {
    long ticket = beginUpdate();
    updateBuffer.add(slot, 1);
    endUpdate(ticket);
  }

  /** Does the same as {@link #observe}, as a separate update. */
  public void recordDuration(Series series, long micros) {
    long ticket = beginUpdate();
    observe(series, micros);
    endUpdate(ticket);
  }

  /**
   * Swaps the buffers and returns what was recorded since the last swap. May be called on any
   * thread, but only by one thread at a time. The caller has to drain the returned buffer before
   * the next swap.
   */
  RecorderBuffer swapBuffers() {
    phaser.readerLock();
    try {
      RecorderBuffer filled = activeBuffer;
      activeBuffer = inactiveBuffer;
      phaser.flipPhase(FLIP_YIELD_NANOS);
      inactiveBuffer = filled;
      return filled;
    } finally {
      phaser.readerUnlock();
    }
  }
}
