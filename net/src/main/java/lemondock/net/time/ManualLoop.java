package lemondock.net.time;

import java.util.ArrayDeque;
import lemondock.net.Loop;

/**
 * A loop whose time stands still until it is moved: what runs on it does the same each time. One
 * thread.
 */
public final class ManualLoop implements Loop {
  private static final long TICK = 1_000;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final TimerWheel wheel;
  private long now;
  private long wallAhead;

  /** Makes a loop that starts at a moment (microseconds). */
  public ManualLoop(long start) {
    now = start;
    wheel = new TimerWheel(start, TICK);
  }

  @Override
  public long now() {
    return now;
  }

  @Override
  public long wallMillis() {
    return now / 1_000 + wallAhead;
  }

  /** Sets the wall clock forward or back, as a person or a time server may. */
  public void stepWallClock(long millis) {
    wallAhead += millis;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    TimerWheel.Entry entry = wheel.schedule(now + Math.max(0, delayMicros), task);
    return () -> wheel.cancel(entry);
  }

  @Override
  public boolean inLoop() {
    return true;
  }

  /** Drops the task handed over first of those that have not run: it is lost. */
  public void dropNextTask() {
    tasks.removeFirst();
  }

  /** Runs what was handed over, and what that hands over. */
  public void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  /**
   * Lets time pass during which nothing runs, as when the process is stopped; what fell due runs
   * late, all at once.
   */
  public void pauseFor(long micros) {
    now += micros;
    wheel.advance(now);
    runTasks();
  }

  /** Moves time on, stopping at each tick with something due. */
  public void advance(long micros) {
    long until = now + micros;
    while (wheel.nextDueMicros() <= until && wheel.nextDueMicros() != Long.MAX_VALUE) {
      now = Math.max(now, wheel.nextDueMicros());
      wheel.advance(now);
      runTasks();
    }
    now = until;
    wheel.advance(now);
    runTasks();
  }
}
