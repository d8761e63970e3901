package lemondock.benchmark;

import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;

/**
 * What came of one run: calls by how they ended, and in time by class and by the tenth of a second
 * in which they were sent. Thread-safe.
 */
final class OverloadOutcome {
  private static final int SLOTS_PER_SECOND = 10;
  private static final int SLOTS_PER_TRACE_LINE = 5;

  /** From this share of calls in time on, service counts as recovered. */
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

  /** Makes the outcome of a run of that length. */
  OverloadOutcome(double seconds) {
    this.seconds = seconds;
    int slots = slotAt(seconds) + 1;
    sentBySlot = new AtomicIntegerArray(slots);
    inTimeBySlot = new AtomicIntegerArray(slots);
    lateBySlot = new AtomicIntegerArray(slots);
  }

  /** The slot of a moment, given in seconds from the run's begin. */
  static int slotAt(double second) {
    return (int) (second * SLOTS_PER_SECOND);
  }

  /** Counts a call that is sent now, on the one thread that sends; gives its number from 0. */
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

  /** Counts a stream that broke off after its first token. */
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

  /** Priority weight of the calls in time, a second. */
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

  /** Seconds after that one until calls are in time in each later tenth of a second. */
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

  /** Prints a line for each half second: calls sent, in time, late, and the rest. */
  void printTrace(int fromSecond) {
    int slot = slotAt(fromSecond);
    while (slot + SLOTS_PER_TRACE_LINE < sentBySlot.length()) {
      printTraceLine(slot);
      slot += SLOTS_PER_TRACE_LINE;
    }
  }

  private void printTraceLine(int firstSlot) {
    int asked = 0;
    int inTime = 0;
    int tooLate = 0;
    for (int slot = firstSlot; slot < firstSlot + SLOTS_PER_TRACE_LINE; slot++) {
      asked += sentBySlot.get(slot);
      inTime += inTimeBySlot.get(slot);
      tooLate += lateBySlot.get(slot);
    }
    System.err.printf(
        Locale.ROOT,
        "  at %.1f s: asked %d, in time %d, late %d, refused %d%n",
        firstSlot / (double) SLOTS_PER_SECOND,
        asked,
        inTime,
        tooLate,
        asked - inTime - tooLate);
  }

  /** Prints the run's counts. */
  void printSummary(String way, double loadFactor) {
    System.err.printf(
        Locale.ROOT,
        "%s at %.1f x: worth %.0f, sent %d, in time %d and %d, refused %d,"
            + " late %d, broken %d%n",
        way,
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
