package lemondock.metrics;

import java.util.concurrent.atomic.AtomicReferenceArray;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.WriterReaderPhaser;

/**
 * Where one thread counts. It writes to one of two buffers and never waits; a snapshot turns the
 * buffers over and waits until the thread has left the old one, so what was counted within one
 * {@link #enter} is seen whole or not at all. The way of HdrHistogram's interval recorders, for
 * counters, gauges and histograms together.
 *
 * <p>Entering costs two atomic additions that nobody contends for; a count is a plain addition.
 * Nothing is allocated but the first time that a part of the slots or a histogram is touched.
 */
public final class Recorder {
  static final int CHUNK = 1 << 10;
  private static final int CHUNK_BITS = 10;

  /**
   * Longest time told apart: an hour; longer ones count as that. Two digits are an error of at most
   * 1 %.
   */
  static final long LONGEST = 3_600_000_000L;

  private static final int DIGITS = 2;

  private final WriterReaderPhaser phaser = new WriterReaderPhaser();
  private final int chunks;
  private final int series;
  private final long[][] gauges;
  private Buffer spare;
  private volatile Buffer active;
  private Buffer current;

  /** What was counted since the buffer was last emptied. */
  static final class Buffer {
    final AtomicReferenceArray<long[]> values;
    final AtomicReferenceArray<Histogram> times;

    Buffer(int chunks, int series) {
      values = new AtomicReferenceArray<>(chunks);
      times = new AtomicReferenceArray<>(series);
    }

    void add(int slot, long delta) {
      long[] chunk = values.getPlain(slot >> CHUNK_BITS);
      if (chunk == null) {
        chunk = new long[CHUNK];
        values.setRelease(slot >> CHUNK_BITS, chunk);
      }
      chunk[slot & CHUNK - 1] += delta;
    }

    void record(int number, long micros) {
      Histogram histogram = times.getPlain(number);
      if (histogram == null) {
        histogram = newHistogram();
        times.setRelease(number, histogram);
      }
      histogram.recordValue(Math.min(Math.max(0, micros), LONGEST));
    }
  }

  Recorder(int slots, int series) {
    this.chunks = (slots + CHUNK - 1) / CHUNK;
    this.series = series;
    this.gauges = new long[chunks][];
    this.active = new Buffer(chunks, series);
    this.spare = new Buffer(chunks, series);
  }

  static Histogram newHistogram() {
    return new Histogram(LONGEST, DIGITS);
  }

  /**
   * Begins a group of counts that a snapshot sees whole or not at all; hand the ticket to {@link
   * #exit}.
   */
  public long enter() {
    long ticket = phaser.writerCriticalSectionEnter();
    current = active;
    return ticket;
  }

  /** Ends the group. */
  public void exit(long ticket) {
    phaser.writerCriticalSectionExit(ticket);
  }

  /** Adds to a counter or gauge; within a group only. */
  public void add(int slot, long delta) {
    current.add(slot, delta);
  }

  /**
   * Sets this thread's part of a gauge; the parts of all threads are summed. Within a group only.
   */
  public void set(int slot, long value) {
    int at = slot >> CHUNK_BITS;
    if (gauges[at] == null) {
      gauges[at] = new long[CHUNK];
    }
    int within = slot & CHUNK - 1;
    current.add(slot, value - gauges[at][within]);
    gauges[at][within] = value;
  }

  /**
   * Records a time in microseconds for a series of the shape {@link Family.Shape#TIMES}; within a
   * group only.
   */
  public void record(Series of, long micros) {
    current.record(of.number(), micros);
    current.add(of.first(), 1);
    current.add(of.first() + 1, Math.min(Math.max(0, micros), LONGEST));
  }

  /** A group of one count. */
  public void count(int slot) {
    long ticket = enter();
    current.add(slot, 1);
    exit(ticket);
  }

  /** A group of one time. */
  public void time(Series of, long micros) {
    long ticket = enter();
    record(of, micros);
    exit(ticket);
  }

  /**
   * Turns the buffers over and gives what was counted since the last time; one reader at a time.
   */
  Buffer take() {
    phaser.readerLock();
    try {
      Buffer full = active;
      active = spare;
      phaser.flipPhase(10_000); // yields between looks; the writer is inside for nanoseconds
      spare = full;
      return full;
    } finally {
      phaser.readerUnlock();
    }
  }
}
