package lemondock.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Actions scheduled at times relative to the start of a run. One thread both adds and runs them;
 * actions with the same time run in the order in which they were added.
 */
final class Timetable {
  private static final double NANOS_PER_MILLI = 1e6;

  private final List<Entry> entries = new ArrayList<>();

  private record Entry(double atMs, Runnable action) {}

  void add(double atMs, Runnable action) {
    entries.add(new Entry(atMs, action));
  }

  /** Runs each action at its time on the calling thread; returns after the last one. */
  void run() throws InterruptedException {
    entries.sort(Comparator.comparingDouble(Entry::atMs));
    long startNanos = System.nanoTime();
    for (Entry entry : entries) {
      long dueNanos = startNanos + (long) (entry.atMs() * NANOS_PER_MILLI);
      long waitNanos = dueNanos - System.nanoTime();
      if (waitNanos > 0) {
        TimeUnit.NANOSECONDS.sleep(waitNanos);
      }
      entry.action().run();
    }
  }
}
