package lemondock.net.nio;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.time.TimerWheel;

/**
 * A loop on the machine's clock: one context, but no thread of its own for most of its work.
 * Whoever brings a task from an I/O thread runs it there and then if the context is free, and
 * whoever has the context runs what others bring meanwhile ({@link FlatCombiner}). So a token that
 * comes in is decoded, handled and written by one thread, with no wake-up. A thread of the loop's
 * own runs timers and what other threads hand over, and takes over from an I/O thread that has run
 * tasks for too long.
 *
 * <p>Its inbox needs no bound of its own: a connection hands over one batch and waits until that is
 * handled, so it holds at most a few tasks a connection.
 */
public final class ThreadLoop implements Loop, AutoCloseable {
  /** Resolution of timers. */
  private static final long TICK_MICROS = 1_000;

  private static final int MAX_TASKS_PER_TURN = 256;
  private static final int MAX_TASKS_PER_INLINE_TURN = 64;

  /** Turns that an I/O thread runs in a row, which has sockets of its own to look after. */
  private static final int MAX_INLINE_TURNS = 4;

  /** How long the loop's own thread waits for an I/O thread that has the context. */
  private static final long CONTEXT_RETRY_NANOS = 20_000;

  /** Writes and timers wait for the end of a turn, however much there is to do. */
  private static final long MAX_TURN_NANOS = 2_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** Any thread. */
  private final FlatCombiner context = new FlatCombiner();

  // Loop thread only (whoever has the context), each from here on:
  private final ArrayDeque<Runnable> turnEndTasks = new ArrayDeque<>();
  private final ArrayList<Runnable> outsideTasks = new ArrayList<>();
  private final Consumer<Throwable> onFailure;
  private final Thread thread;
  private final TimerWheel wheel;
  private final Runnable advanceTimers = this::advanceTimers;
  private final Runnable inlineTurn = () -> runTurn(MAX_TASKS_PER_INLINE_TURN);

  /**
   * When the loop's own thread will wake by itself; it is woken for what is due before. Set by that
   * thread, read by any.
   */
  private volatile long wakeTimeMicros;

  /** Any thread. */
  private volatile boolean stopped;

  /** Starts the loop; what a task throws goes to {@code onFailure}, and the loop goes on. */
  public ThreadLoop(String name, Consumer<Throwable> onFailure) {
    this.onFailure = onFailure;
    this.wheel = new TimerWheel(now(), TICK_MICROS);
    this.thread = new Thread(this::runOwnThread, name);
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public long now() {
    return System.nanoTime() / 1_000;
  }

  @Override
  public long wallMillis() {
    return System.currentTimeMillis();
  }

  @Override
  public boolean inLoop() {
    return context.isMine();
  }

  @Override
  public void execute(Runnable task) {
    context.add(task);
    if (!context.isTaken()) {
      // else whoever has the context looks at the inbox again after giving it up
      LockSupport.unpark(thread);
    }
  }

  /**
   * Hands over a task from an I/O thread, which runs it, and what else has come, if the context is
   * free.
   */
  void executeHere(Runnable task) {
    context.add(task);
    if (!stopped && !context.combine(MAX_INLINE_TURNS, inlineTurn)) {
      LockSupport.unpark(thread); // this thread has sockets of its own to look after
    }
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    TimerWheel.Entry entry = wheel.schedule(now() + Math.max(0, delayMicros), task);
    return () -> wheel.cancel(entry);
  }

  /** Timers that are set: each holds what its task holds. Loop thread only. */
  public int pendingTimers() {
    return wheel.size();
  }

  /**
   * Runs a task when the tasks at hand are done: writes of one turn go out together. Loop thread
   * only.
   */
  void atTurnEnd(Runnable task) {
    turnEndTasks.add(task);
  }

  /**
   * Runs a task after the turn on the same thread, when the context is free for others. Loop thread
   * only.
   */
  void outside(Runnable task) {
    outsideTasks.add(task);
  }

  /** Reports what a task threw elsewhere on this loop's behalf. */
  void reportFailure(Throwable cause) {
    onFailure.accept(cause);
  }

  /** Stops after the task at hand; tasks and timers left are dropped. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
  }

  /** Waits for the thread to end; for tests and the end of a process. */
  public void join(long millis) throws InterruptedException {
    thread.join(millis);
  }

  private void advanceTimers() {
    wheel.advance(now());
  }

  /**
   * One turn by whoever has the context; gives it up at the end, then does what need not be done
   * within it.
   */
  private void runTurn(int maxTasks) {
    List<Runnable> afterwards;
    try {
      runGuarded(advanceTimers);
      Runnable task = context.poll();
      long endNanos = System.nanoTime() + MAX_TURN_NANOS;
      for (int done = 0; task != null && !stopped; ) {
        runGuarded(task);
        task = ++done < maxTasks && System.nanoTime() < endNanos ? context.poll() : null;
      }
      while (!turnEndTasks.isEmpty()) {
        runGuarded(turnEndTasks.poll());
      }
    } finally {
      afterwards = outsideTasks.isEmpty() ? List.of() : List.copyOf(outsideTasks);
      outsideTasks.clear();
      boolean dueSooner =
          Thread.currentThread() != thread && wheel.nextDueMicros() < wakeTimeMicros;
      context.leave();
      // what came in during the turn relied on this thread to look again, which it does after
      // the tasks below: one of them may take long
      if (dueSooner || !afterwards.isEmpty() && !context.isEmpty()) {
        LockSupport.unpark(thread);
      }
    }
    for (Runnable task : afterwards) {
      runGuarded(task);
    }
  }

  /** The loop's own thread. */
  private void runOwnThread() {
    while (!stopped) {
      if (!context.enter()) {
        // an I/O thread has the context and will not have it for long
        LockSupport.parkNanos(this, CONTEXT_RETRY_NANOS);
        continue;
      }
      runTurn(MAX_TASKS_PER_TURN);
      if (context.isEmpty() && context.enter()) {
        long dueMicros = wheel.nextDueMicros();
        wakeTimeMicros = dueMicros;
        context.leave();
        long waitNanos = dueMicros == NEVER ? NEVER : (dueMicros - now()) * 1_000;
        if (context.isEmpty() && waitNanos > 0 && !stopped) {
          LockSupport.parkNanos(this, waitNanos);
        }
        wakeTimeMicros = 0; // awake: it looks at the timers before it sleeps again
      }
    }
  }

  private void runGuarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    }
  }
}
