package lemondock.metrics;

import org.HdrHistogram.WriterReaderPhaser;

/**
 * Records metrics of one thread without locks or waiting. It writes to one of two buffers; a
 * snapshot swaps the buffers and waits until the thread has left the old one, so that a snapshot
 * sees either all or none of what was recorded between {@link #beginUpdate} and {@link #endUpdate}.
 * This is the way of HdrHistogram's interval recorders, applied to counters, gauges and durations
 * together.
 *
 * <p>An update costs two uncontended atomic additions, a count a plain addition. Memory is
 * allocated only when a part of the slots or a histogram is touched for the first time.
 *
 * <p>All public methods are for the recorder's own thread.
 */
public final class Recorder {
  /** How long a snapshot sleeps between two checks whether the writer has left; nanoseconds. */
  private static final long FLIP_YIELD_NANOS = 10_000;

  private final WriterReaderPhaser phaser = new WriterReaderPhaser();

  /** This thread's part of each gauge, in chunks like those of the buffers. Own thread only. */
  private final long[][] gaugeValues;

  /** Written under the phaser's reader lock, read by the own thread within an update. */
  private volatile RecorderBuffer activeBuffer;

  /** Under the phaser's reader lock. */
  private RecorderBuffer inactiveBuffer;

  /** The buffer of the update in progress. Own thread only. */
  private RecorderBuffer updateBuffer;

  Recorder(int maxSlots, int maxSeries) {
    this.gaugeValues = new long[RecorderBuffer.chunkCount(maxSlots)][];
    this.activeBuffer = new RecorderBuffer(maxSlots, maxSeries);
    this.inactiveBuffer = new RecorderBuffer(maxSlots, maxSeries);
  }

  /**
   * Begins an update, which a snapshot sees as a whole or not at all.
   *
   * @return the ticket to hand to {@link #endUpdate}
   */
  public long beginUpdate() {
    long ticket = phaser.writerCriticalSectionEnter();
    updateBuffer = activeBuffer;
    return ticket;
  }

  /** Ends the update of the ticket. */
  public void endUpdate(long ticket) {
    phaser.writerCriticalSectionExit(ticket);
  }

  /** Adds to a counter or gauge; within an update only. */
  public void add(int slot, long delta) {
    updateBuffer.add(slot, delta);
  }

  /**
   * Sets this thread's part of a gauge; a snapshot sums the parts of all threads. Within an update
   * only.
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
   * Records a duration for a series of type {@link MetricFamily.Type#DURATION_SUMMARY}; within an
   * update only. Negative durations count as zero, those above an hour as an hour.
   */
  public void observe(Series series, long micros) {
    updateBuffer.observe(series, micros);
  }

  /** Adds one to a counter, as an update of its own. */
  public void increment(int slot) {
    long ticket = beginUpdate();
    updateBuffer.add(slot, 1);
    endUpdate(ticket);
  }

  /** Does the same as {@link #observe}, as an update of its own. */
  public void recordDuration(Series series, long micros) {
    long ticket = beginUpdate();
    observe(series, micros);
    endUpdate(ticket);
  }

  /**
   * Swaps the buffers and returns what was recorded since the last swap. Any thread, one at a time;
   * the result may be read and has to be emptied before the next swap.
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
