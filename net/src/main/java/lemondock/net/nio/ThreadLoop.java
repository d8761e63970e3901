package lemondock.net.nio;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import lemondock.net.Loop;
import lemondock.net.time.TimerWheel;

/**
 * A loop on the system clock. It is a single execution context, and most of its tasks run on I/O
 * threads: an I/O thread that submits a task runs it immediately if the context is free, and the
 * thread that holds the context also runs the tasks that others submit meanwhile ({@link
 * FlatCombiner}). So one thread decodes, handles and writes an incoming token, with no wake-up. A
 * dedicated thread runs timers and the tasks submitted by other threads, and takes over from an I/O
 * thread that has run tasks for too long.
 *
 * <p>The inbox needs no limit of its own: a connection submits one batch and waits until it is
 * handled, so the inbox holds at most a few tasks per connection.
 */
public final class ThreadLoop implements Loop, AutoCloseable {
  /** Resolution of timers. */
  private static final long TICK_MICROS = 1_000;

  private static final int MAX_TASKS_PER_TURN = 256;
  private static final int MAX_TASKS_PER_INLINE_TURN = 64;

  /** Turns that an I/O thread runs in a row; more would delay the sockets it serves. */
  private static final int MAX_CONSECUTIVE_INLINE_TURNS = 4;

  /**
   * How long the dedicated thread waits before it tries again while an I/O thread holds the
   * context.
   */
  private static final long CONTEXT_RETRY_DELAY_NANOS = 20_000;

  /**
   * Maximum length of a turn, whatever the number of waiting tasks: writes and timers wait for its
   * end.
   */
  private static final long MAX_TURN_NANOS = 2_000_000;

  private static final long NEVER = Long.MAX_VALUE;

  /** Any thread. */
  private final FlatCombiner context = new FlatCombiner();

  /** Any thread. */
  private final ConcurrentLinkedQueue<Runnable> dedicatedThreadTasks =
      new ConcurrentLinkedQueue<>();

  // All fields below: loop thread only (the thread that holds the context), except where stated.
  private final ArrayDeque<Runnable> turnEndTasks = new ArrayDeque<>();
  private final ArrayList<Runnable> afterTurnTasks = new ArrayList<>();
  private final Consumer<Throwable> onFailure;
  private final Optional<Thread.UncaughtExceptionHandler> threadEndHandler;
  private final Thread thread;
  private final TimerWheel wheel;
  private final Runnable advanceTimers = this::advanceTimers;
  private final Runnable inlineTurn = () -> runTurn(MAX_TASKS_PER_INLINE_TURN);

  /**
   * When the dedicated thread will wake up by itself; it is woken for timers due earlier. Set by
   * that thread, read by any thread.
   */
  private volatile long nextWakeMicros;

  /** Any thread. */
  private volatile boolean stopped;

  /**
   * Starts the loop. Whatever a task throws is passed to {@code onFailure}, and the loop continues.
   */
  public ThreadLoop(String name, Consumer<Throwable> onFailure) {
    this(name, onFailure, Optional.empty());
  }

  /**
   * Starts a loop whose program cannot go on without its threads.
   *
   * @param onFailure is passed whatever a task throws, on the thread that ran the task
   * @param threadEndHandler called on the loop's thread, or on an I/O thread of a network on this
   *     loop, when that thread ends by an exception or error that nothing handled, including those
   *     thrown by {@code onFailure}
   */
  public ThreadLoop(
      String name,
      Consumer<Throwable> onFailure,
      Thread.UncaughtExceptionHandler threadEndHandler) {
    this(name, onFailure, Optional.of(threadEndHandler));
  }

  private ThreadLoop(
      String name,
      Consumer<Throwable> onFailure,
      Optional<Thread.UncaughtExceptionHandler> threadEndHandler) {
    this.onFailure = onFailure;
    this.threadEndHandler = threadEndHandler;
    this.wheel = new TimerWheel(now(), TICK_MICROS);
    this.thread = new Thread(this::runDedicatedThread, name);
    thread.setDaemon(true);
    threadEndHandler.ifPresent(thread::setUncaughtExceptionHandler);
    thread.start();
  }

  /** Called when a thread of this loop or of a network on it has ended by an error. */
  Optional<Thread.UncaughtExceptionHandler> threadEndHandler() {
    return threadEndHandler;
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
    return context.isHeldByCurrentThread();
  }

  @Override
  public void execute(Runnable task) {
    context.add(task);
    if (!context.isHeld()) {
      // otherwise the thread that holds the context checks the inbox again after releasing it
      LockSupport.unpark(thread);
    }
  }

  /**
   * Submits a task from an I/O thread, which runs it and all other waiting tasks itself if the
   * context is free.
   */
  void executeInline(Runnable task) {
    context.add(task);
    if (!stopped && !context.combine(MAX_CONSECUTIVE_INLINE_TURNS, inlineTurn)) {
      LockSupport.unpark(thread); // this I/O thread must return to the sockets it serves
    }
  }

  @Override
  public Timer schedule(long delayMicros, Runnable task) {
    TimerWheel.Entry entry = wheel.schedule(now() + Math.max(0, delayMicros), task);
    return () -> wheel.cancel(entry);
  }

  /**
   * Number of pending timers; each keeps the objects that its task refers to alive. Loop thread
   * only.
   */
  public int pendingTimers() {
    return wheel.size();
  }

  /**
   * Runs a task at the end of the current turn, so that the writes of one turn are sent together.
   * Loop thread only.
   */
  void runAtTurnEnd(Runnable task) {
    turnEndTasks.add(task);
  }

  /**
   * Runs a task on the same thread after the turn, once the context is released. Loop thread only.
   */
  void runAfterTurn(Runnable task) {
    afterTurnTasks.add(task);
  }

  /**
   * Runs a task on the dedicated thread, outside the loop's context: for work that must not run on
   * an I/O thread. Any thread.
   */
  void executeOnDedicatedThread(Runnable task) {
    dedicatedThreadTasks.add(task);
    LockSupport.unpark(thread);
  }

  /** Reports a failure of work done outside the loop on its behalf. Any thread. */
  void reportFailure(Throwable cause) {
    onFailure.accept(cause);
  }

  /** Stops after the current task; remaining tasks and timers are discarded. */
  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(thread);
  }

  /** Waits for the dedicated thread to end; for tests and process shutdown. */
  public void join(long millis) throws InterruptedException {
    thread.join(millis);
  }

  private void advanceTimers() {
    wheel.advance(now());
  }

  /**
   * Runs one turn on the thread that holds the context, releases the context, then runs the tasks
   * that were deferred until after the turn.
   */
  private void runTurn(int maxTasks) {
    List<Runnable> tasksAfterTurn;
    try {
      runReportingFailure(advanceTimers);
      Runnable task = context.poll();
      long endNanos = System.nanoTime() + MAX_TURN_NANOS;
      for (int tasksRun = 0; task != null && !stopped; ) {
        runReportingFailure(task);
        task = ++tasksRun < maxTasks && System.nanoTime() < endNanos ? context.poll() : null;
      }
      while (!turnEndTasks.isEmpty()) {
        runReportingFailure(turnEndTasks.poll());
      }
    } finally {
      tasksAfterTurn = afterTurnTasks.isEmpty() ? List.of() : List.copyOf(afterTurnTasks);
      afterTurnTasks.clear();
      boolean timerDueBeforeWake =
          Thread.currentThread() != thread && wheel.nextDueMicros() < nextWakeMicros;
      context.release();
      // tasks submitted during the turn rely on this thread to check the inbox again, which it does
      // only after the tasks below, and one of them may take long
      if (timerDueBeforeWake || !tasksAfterTurn.isEmpty() && !context.isEmpty()) {
        LockSupport.unpark(thread);
      }
    }
    for (Runnable task : tasksAfterTurn) {
      runReportingFailure(task);
    }
  }

  /** Body of the dedicated thread. */
  private void runDedicatedThread() {
    while (!stopped) {
      runDedicatedThreadTasks();
      if (!context.tryAcquire()) {
        // an I/O thread holds the context and will release it soon
        LockSupport.parkNanos(this, CONTEXT_RETRY_DELAY_NANOS);
        continue;
      }
      runTurn(MAX_TASKS_PER_TURN);
      if (context.isEmpty() && context.tryAcquire()) {
        long dueMicros = wheel.nextDueMicros();
        nextWakeMicros = dueMicros;
        context.release();
        long waitNanos = dueMicros == NEVER ? NEVER : (dueMicros - now()) * 1_000;
        if (context.isEmpty() && waitNanos > 0 && !stopped) {
          LockSupport.parkNanos(this, waitNanos);
        }
        nextWakeMicros = 0; // awake: this thread checks the timers before it sleeps again
      }
    }
  }

  private void runDedicatedThreadTasks() {
    Runnable task = dedicatedThreadTasks.poll();
    while (task != null) {
      runReportingFailure(task);
      task = dedicatedThreadTasks.poll();
    }
  }

  private void runReportingFailure(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    }
  }
}
