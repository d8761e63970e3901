package lemondock.net.time;

import java.util.ArrayDeque;
import lemondock.net.Loop;

/**
 * A loop whose clock stands still until it is advanced: what runs on it does the same each time.
 * For one thread.
 */
public final class ManualLoop implements Loop {
  private static final long TICK_MICROS = 1_000;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final TimerWheel wheel;
  private long nowMicros;
  private long wallOffsetMillis;

  /** Makes a loop whose clock starts at that many microseconds. */
  public ManualLoop(long startMicros) {
    nowMicros = startMicros;
    wheel = new TimerWheel(startMicros, TICK_MICROS);
  }

  @Override
  public long now() {
    return nowMicros;
  }

  @Override
  public long wallMillis() {
    return nowMicros / 1_000 + wallOffsetMillis;
  }

  /** Steps the wall clock forward or back, as an operator or a time server may. */
  public void stepWallClock(long millis) {
    wallOffsetMillis += millis;
  }

  @Override
  public void execute(Runnable task) {
    tasks.add(task);
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    TimerWheel.Entry entry = wheel.schedule(nowMicros + Math.max(0, delayMicros), task);
    return () -> wheel.cancel(entry);
  }

  @Override
  public boolean inLoop() {
    return true;
  }

  /** Drops the oldest task that has not run. */
  public void dropNextTask() {
    tasks.removeFirst();
  }

  /** Runs all tasks that were handed over, and those that they hand over. */
  public void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  /**
   * Lets time pass during which nothing runs, as when the process is stopped; what fell due runs
   * late, all at once.
   */
  public void pauseFor(long durationMicros) {
    nowMicros += durationMicros;
    wheel.advance(nowMicros);
    runTasks();
  }

  /** Advances the clock, stopping at each tick with a timer due to run it and the tasks. */
  public void advance(long durationMicros) {
    long untilMicros = nowMicros + durationMicros;
    while (wheel.nextDueMicros() <= untilMicros && wheel.nextDueMicros() != Long.MAX_VALUE) {
      nowMicros = Math.max(nowMicros, wheel.nextDueMicros());
      wheel.advance(nowMicros);
      runTasks();
    }
    nowMicros = untilMicros;
    wheel.advance(nowMicros);
    runTasks();
  }
}
