package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * How long the machine did not run a thread that was due: what takes longer meanwhile is not the
 * gateways' doing.
 */
final class MachineStalls implements AutoCloseable {
  private static final long TICK = 5 * MonotonicClock.MILLI;
  private static final long LEAST = 25 * MonotonicClock.MILLI;

  private final List<Stall> stalls = new CopyOnWriteArrayList<>();
  private final Thread thread = new Thread(this::watch, "machine-stalls");
  private volatile boolean closed;

  private record Stall(long from, long until) {}

  /** Begins to watch. */
  MachineStalls() {
    thread.setDaemon(true);
    thread.start();
  }

  private void watch() {
    while (!closed) {
      long due = MonotonicClock.now() + TICK;
      MonotonicClock.sleepUntil(due);
      long late = MonotonicClock.now() - due;
      if (late >= LEAST) {
        stalls.add(new Stall(due, due + late));
      }
    }
  }

  /** Work of the rig itself that others wait for took from then to then. */
  void worked(long from, long until) {
    if (until - from >= LEAST) {
      stalls.add(new Stall(from, until));
    }
  }

  /** Time that was lost between those moments. */
  long lost(long from, long until) {
    return stalls.stream()
        .mapToLong(stall -> Math.max(0, Math.min(until, stall.until) - Math.max(from, stall.from)))
        .sum();
  }

  /** All time that was lost so far. */
  long total() {
    return lost(0, Long.MAX_VALUE);
  }

  @Override
  public void close() {
    closed = true;
  }
}
