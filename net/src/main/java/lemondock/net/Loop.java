package lemondock.net;

import java.util.concurrent.Executor;

/**
 * An event loop: a single-threaded execution context that runs all decisions of a process. State
 * above the codecs is accessed only on the loop, so it needs no locks. With real sockets, whichever
 * thread has work for the loop runs it, one thread at a time; a simulation may run it on a clock
 * that it advances itself.
 */
public interface Loop extends Executor {
  /** Monotonic time in microseconds since an arbitrary origin. Any thread. */
  long now();

  /**
   * Wall-clock time in milliseconds since the epoch. It may jump, so use it only in log lines and
   * protocols, never for durations. Any thread.
   */
  long wallMillis();

  /** Runs the task on the loop, after all tasks submitted before it. Any thread. */
  @Override
  void execute(Runnable task);

  /**
   * Runs the task once, not before the delay has passed and never within the running task. Loop
   * thread only.
   *
   * @param delayMicros microseconds; a negative delay counts as zero
   */
  Timer schedule(long delayMicros, Runnable task);

  /** Whether the caller is running on the loop. Any thread. */
  boolean inLoop();

  /** A task that is scheduled for later. */
  interface Timer {
    /** Cancels the task if it has not run; has no effect otherwise. Loop thread only. */
    void cancel();
  }
}
