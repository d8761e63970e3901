package lemondock.net.time;

import java.util.ArrayDeque;
import lemondock.net.Loop;

/**
 * A loop whose clock moves only when it is advanced, so runs are reproducible. For use by one
 * thread.
 */
public final class ManualLoop implements Loop {
  private static final long TICK_MICROS = 1_000;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final TimerWheel wheel;
  private long nowMicros;
  private long wallOffsetMillis;

  /** Creates a loop whose clock starts at the given microseconds. */
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

  /** Moves the wall clock forward or back, as an operator or a time server may. */
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

  /** Discards the oldest task that has not run. */
  public void dropNextTask() {
    tasks.removeFirst();
  }

  /** Runs all submitted tasks, and those that they submit. */
  public void runTasks() {
    for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
      task.run();
    }
  }

  /**
   * Advances the clock while nothing runs, as when the process is suspended. Timers that became due
   * run late, all at the end.
   */
  public void pauseFor(long durationMicros) {
    nowMicros += durationMicros;
    wheel.advance(nowMicros);
    runTasks();
  }

  /**
   * Advances the clock, stopping at each tick with a due timer to run it and all submitted tasks.
   */
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
