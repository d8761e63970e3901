package lemondock.net;

import java.util.concurrent.Executor;

/**
 * An event loop: the one thread on which a process decides. All state above the codecs is touched
 * only here, so none of it needs a lock. Real sockets run it on whichever thread has work for it,
 * one at a time; a simulation may run it on a clock that it advances itself.
 */
public interface Loop extends Executor {
  /** Monotonic time in microseconds from an arbitrary start. Any thread. */
  long now();

  /**
   * Wall-clock time in milliseconds since the epoch; may jump, so it is for log lines and protocols
   * only, never for durations. Any thread.
   */
  long wallMillis();

  /** Runs the task on the loop after all that were handed over before it. Any thread. */
  @Override
  void execute(Runnable task);

  /**
   * Runs the task once, no sooner than after the delay and never within the running task. Loop
   * thread only.
   *
   * @param delayMicros microseconds; a negative delay counts as zero
   */
  Timer schedule(long delayMicros, Runnable task);

  /** Whether the caller is on the loop's thread. Any thread. */
  boolean inLoop();

  /** A task that is due later. */
  interface Timer {
    /** Drops the task if it has not run; does nothing otherwise. Loop thread only. */
    void cancel();
  }
}
