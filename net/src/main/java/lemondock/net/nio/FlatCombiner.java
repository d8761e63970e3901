package lemondock.net.nio;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

/**
 * An execution context without a thread of its own: any thread submits tasks, and whichever thread
 * holds the context runs them (flat combining: Hendler, Incze, Shavit and Tzafrir, 2010). Two
 * guarantees depend on the order of steps here, and a Lincheck test checks the interleavings: at
 * most one thread holds the context at a time, and no task is lost. A thread that submits a task
 * either acquires the context, or another thread holds it and checks the inbox again after
 * releasing it. Any thread, unless a method says otherwise.
 */
final class FlatCombiner {
  private final ConcurrentLinkedQueue<Runnable> inbox = new ConcurrentLinkedQueue<>();
  private final AtomicReference<Thread> owner = new AtomicReference<>();

  /** Submits a task. */
  void add(Runnable task) {
    inbox.add(task);
  }

  /** Whether some thread holds the context; it will check the inbox again after releasing it. */
  boolean isHeld() {
    return owner.get() != null;
  }

  /** Whether the calling thread holds the context. */
  boolean isHeldByCurrentThread() {
    return owner.get() == Thread.currentThread();
  }

  /** Acquires the context if no thread holds it. */
  boolean tryAcquire() {
    return owner.compareAndSet(null, Thread.currentThread());
  }

  /**
   * Releases the context. The caller must check {@link #isEmpty} afterwards, or have another thread
   * do so.
   */
  void release() {
    owner.set(null);
  }

  /** Whether no task is waiting. */
  boolean isEmpty() {
    return inbox.isEmpty();
  }

  /** Removes the next task, null if there is none. Only for the holder of the context. */
  Runnable poll() {
    return inbox.poll();
  }

  /**
   * Runs turns while tasks are waiting and the context can be acquired.
   *
   * @param maxTurns maximum number of turns
   * @param turn called with the context held, and must release it
   * @return false if {@code maxTurns} turns were run and tasks are still waiting; the caller must
   *     then wake another thread for them
   */
  boolean combine(int maxTurns, Runnable turn) {
    for (int turnsRun = 0; !inbox.isEmpty(); turnsRun++) {
      if (turnsRun == maxTurns) {
        return false;
      }
      if (!tryAcquire()) {
        return true;
      }
      turn.run();
    }
    return true;
  }
}
