package lemondock.benchmark;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * The outcome of one run: counts calls by how they ended, and calls in time also by class and by
 * the tenth of a second in which they were sent. Thread-safe.
 */
final class OverloadOutcome {
  private static final int SLOTS_PER_SECOND = 10;
  private static final int SLOTS_PER_TRACE_LINE = 5;

  /** Service counts as recovered when at least this share of calls is in time. */
  private static final double RECOVERED_SHARE = 0.95;

  private final double seconds;
  private final AtomicIntegerArray inTimeByClass =
      new AtomicIntegerArray(OverloadClass.values().length);
  private final AtomicInteger rejected = new AtomicInteger();
  private final AtomicInteger late = new AtomicInteger();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger unfinished = new AtomicInteger();
  private final AtomicIntegerArray sentBySlot;
  private final AtomicIntegerArray inTimeBySlot;
  private final AtomicIntegerArray lateBySlot;
  private int sent;

  /** Creates the outcome of a run that lasts {@code seconds}. */
  OverloadOutcome(double seconds) {
    this.seconds = seconds;
    int slots = slotAt(seconds) + 1;
    sentBySlot = new AtomicIntegerArray(slots);
    inTimeBySlot = new AtomicIntegerArray(slots);
    lateBySlot = new AtomicIntegerArray(slots);
  }

  /** Returns the slot of a time, given in seconds since the start of the run. */
  static int slotAt(double second) {
    return (int) (second * SLOTS_PER_SECOND);
  }

  /** Counts a call that is about to be sent and returns its number, from 0. For one thread only. */
  int countSent(int slot) {
    unfinished.incrementAndGet();
    sentBySlot.incrementAndGet(slot);
    return sent++;
  }

  void countInTime(OverloadClass requestClass, int slot) {
    inTimeByClass.incrementAndGet(requestClass.ordinal());
    inTimeBySlot.incrementAndGet(slot);
    unfinished.decrementAndGet();
  }

  void countLate(int slot) {
    late.incrementAndGet();
    lateBySlot.incrementAndGet(slot);
    unfinished.decrementAndGet();
  }

  void countRejected() {
    rejected.incrementAndGet();
    unfinished.decrementAndGet();
  }

  /** Counts a call whose stream failed after its first token. */
  void countBroken() {
    broken.incrementAndGet();
    unfinished.decrementAndGet();
  }

  boolean hasUnfinished() {
    return unfinished.get() > 0;
  }

  int broken() {
    return broken.get();
  }

  /** The priority weight of the calls in time, per second of the run. */
  double weightInTimePerSecond() {
    double weight = 0;
    for (OverloadClass requestClass : OverloadClass.values()) {
      weight += (double) inTime(requestClass) * requestClass.priorityWeight();
    }
    return weight / seconds;
  }

  private int inTime(OverloadClass requestClass) {
    return inTimeByClass.get(requestClass.ordinal());
  }

  /**
   * Returns the seconds from {@code fromSecond} until service has recovered, that is, until at
   * least {@link #RECOVERED_SHARE} of the calls of each later slot is in time.
   */
  double secondsUntilRecovered(double fromSecond) {
    int recoveredSlot = slotAt(fromSecond);
    for (int slot = recoveredSlot; slot < sentBySlot.length() - 1; slot++) {
      int sentInSlot = sentBySlot.get(slot);
      if (sentInSlot > 0 && inTimeBySlot.get(slot) < RECOVERED_SHARE * sentInSlot) {
        recoveredSlot = slot + 1;
      }
    }
    return recoveredSlot / (double) SLOTS_PER_SECOND - fromSecond;
  }

  /** Prints a line for each half second: calls sent, in time, late, and all others. */
  void printTrace(int fromSecond) {
    int slot = slotAt(fromSecond);
    while (slot + SLOTS_PER_TRACE_LINE < sentBySlot.length()) {
      printTraceLine(slot);
      slot += SLOTS_PER_TRACE_LINE;
    }
  }

  private void printTraceLine(int firstSlot) {
    int sentCount = 0;
    int inTimeCount = 0;
    int lateCount = 0;
    for (int slot = firstSlot; slot < firstSlot + SLOTS_PER_TRACE_LINE; slot++) {
      sentCount += sentBySlot.get(slot);
      inTimeCount += inTimeBySlot.get(slot);
      lateCount += lateBySlot.get(slot);
    }
    System.err.printf(
        Locale.ROOT,
        "  at %.1f s: sent %d, in time %d, late %d, other %d%n",
        firstSlot / (double) SLOTS_PER_SECOND,
        sentCount,
        inTimeCount,
        lateCount,
        sentCount - inTimeCount - lateCount);
  }

  /** Prints the counts of the run; the calls in time by class. */
  void printSummary(String strategy, double loadFactor) {
    System.err.printf(
        Locale.ROOT,
        "%s at %.1f x: weight in time %.0f/s, sent %d, in time %d and %d, rejected %d,"
            + " late %d, broken %d%n",
        strategy,
        loadFactor,
        weightInTimePerSecond(),
        sent,
        inTime(OverloadClass.SALE_LOOKUP),
        inTime(OverloadClass.DAY_CLOSE),
        rejected.get(),
        late.get(),
        broken.get());
  }
}
