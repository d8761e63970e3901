package lemondock.net.nio;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicReference;

/**
 * One execution context without a thread of its own: tasks are handed in by any thread and run by
 * whoever has the context (flat combining: Hendler, Incze, Shavit and Tzafrir, 2010). Two
 * guarantees rest on the order of steps here, and a Lincheck test goes through the interleavings:
 * never do two threads have the context at a time, and no task is left behind. A thread that hands
 * one in either gets the context, or somebody has it who looks at the inbox again after giving it
 * up. Any thread, unless a method says otherwise.
 */
final class FlatCombiner {
  private final ConcurrentLinkedQueue<Runnable> inbox = new ConcurrentLinkedQueue<>();
  private final AtomicReference<Thread> owner = new AtomicReference<>();

  /** Hands in a task. */
  void add(Runnable task) {
    inbox.add(task);
  }

  /** Whether somebody has the context, who will look at the inbox again. */
  boolean isTaken() {
    return owner.get() != null;
  }

  /** Whether the caller has it. */
  boolean isMine() {
    return owner.get() == Thread.currentThread();
  }

  /** Takes it if it is free. */
  boolean enter() {
    return owner.compareAndSet(null, Thread.currentThread());
  }

  /** Gives it up; the caller looks at {@link #isEmpty} afterwards, or has somebody else do it. */
  void leave() {
    owner.set(null);
  }

  /** Whether no task waits. */
  boolean isEmpty() {
    return inbox.isEmpty();
  }

  /** The next task, null if there is none; only with the context. */
  Runnable poll() {
    return inbox.poll();
  }

  /**
   * Runs turns while there is work and the context is free.
   *
   * @param maxTurns how many at most
   * @param turn has the context when it is called, and leaves it
   * @return false if so many turns were run and there is work left: another thread must be woken
   *     for it
   */
  boolean combine(int maxTurns, Runnable turn) {
    for (int done = 0; !inbox.isEmpty(); done++) {
      if (done == maxTurns) {
        return false;
      }
      if (!enter()) {
        return true;
      }
      turn.run();
    }
    return true;
  }
}
