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
  private static final long TICK = 1_000;
  private static final int BATCH = 256;
  private static final int INLINE_BATCH = 64;
  private static final int MOST_TURNS = 4;
  private static final long OTHERS_TURN = 20_000;

  /** Nanoseconds: writes and timers wait for the end of a turn, however much there is to do. */
  private static final long LONGEST_TURN = 2_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** The context; everything below that is not volatile belongs to whoever has it. */
  private final FlatCombiner context = new FlatCombiner();

  private final ArrayDeque<Runnable> turnEnds = new ArrayDeque<>();
  private final ArrayList<Runnable> outside = new ArrayList<>();
  private final Consumer<Throwable> failure;
  private final Thread thread;
  private final TimerWheel wheel;
  private final Runnable advance = this::advance;
  private final Runnable inlineTurn = () -> turn(INLINE_BATCH);

  /**
   * When the loop's own thread will wake by itself (microseconds); it is woken for what is due
   * before.
   */
  private volatile long wakesAt;

  private volatile boolean stopped;

  /** Starts the loop; what a task throws goes to {@code failure}, and the loop goes on. */
  public ThreadLoop(String name, Consumer<Throwable> failure) {
    this.failure = failure;
    this.wheel = new TimerWheel(now(), TICK);
    this.thread = new Thread(this::run, name);
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
    return context.mine();
  }

  @Override
  public void execute(Runnable task) {
    context.add(task);
    if (!context.taken()) { // else whoever has the context looks at the inbox again after giving it
      // up
      LockSupport.unpark(thread);
    }
  }

  /**
   * Hands over a task from an I/O thread, which runs it, and what else has come, if the context is
   * free.
   */
  void executeHere(Runnable task) {
    context.add(task);
    if (!stopped && !context.combine(MOST_TURNS, inlineTurn)) {
      LockSupport.unpark(thread); // this thread has sockets of its own to look after
    }
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    TimerWheel.Entry entry = wheel.schedule(now() + Math.max(0, delayMicros), task);
    return () -> wheel.cancel(entry);
  }

  /** Timers that are set: each holds what its task holds. In the context only. */
  public int pendingTimers() {
    return wheel.size();
  }

  /**
   * Runs a task when the tasks at hand are done: writes of one turn go out together. In the context
   * only.
   */
  void atTurnEnd(Runnable task) {
    turnEnds.add(task);
  }

  /**
   * Runs a task after the turn on the same thread, when the context is free for others. In the
   * context only.
   */
  void outside(Runnable task) {
    outside.add(task);
  }

  /** Reports what a task threw elsewhere on this loop's behalf. */
  void failed(Throwable cause) {
    failure.accept(cause);
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

  private void advance() {
    wheel.advance(now());
  }

  /**
   * One turn by whoever has the context; gives it up at the end, then does what need not be done
   * within it.
   */
  private void turn(int most) {
    List<Runnable> after;
    try {
      guarded(advance);
      Runnable task = context.poll();
      long until = System.nanoTime() + LONGEST_TURN;
      for (int done = 0; task != null && !stopped; ) {
        guarded(task);
        task = ++done < most && System.nanoTime() < until ? context.poll() : null;
      }
      while (!turnEnds.isEmpty()) {
        guarded(turnEnds.poll());
      }
    } finally {
      after = outside.isEmpty() ? List.of() : List.copyOf(outside);
      outside.clear();
      boolean sooner = Thread.currentThread() != thread && wheel.nextDueMicros() < wakesAt;
      context.leave();
      // what came in during the turn relied on this thread to look again, which it does after
      // the tasks below: one of them may take long
      if (sooner || !after.isEmpty() && !context.isEmpty()) {
        LockSupport.unpark(thread);
      }
    }
    for (Runnable task : after) {
      guarded(task);
    }
  }

  /** The loop's own thread. */
  private void run() {
    while (!stopped) {
      if (!context.enter()) {
        LockSupport.parkNanos(
            this, OTHERS_TURN); // an I/O thread has the context and will not have it for long
        continue;
      }
      turn(BATCH);
      if (context.isEmpty() && context.enter()) {
        long due = wheel.nextDueMicros();
        wakesAt = due;
        context.leave();
        long wait = due == NEVER ? NEVER : (due - now()) * 1_000;
        if (context.isEmpty() && wait > 0 && !stopped) {
          LockSupport.parkNanos(this, wait);
        }
        wakesAt = 0; // awake: it looks at the timers before it sleeps again
      }
    }
  }

  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      failure.accept(e);
    }
  }
}
