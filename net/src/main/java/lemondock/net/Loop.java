package lemondock.net;

import java.util.concurrent.Executor;

/**
 * The one thread on which a process decides. All state above the codecs is touched only here, so
 * none of it needs a lock. Real sockets run it on a thread of its own; a simulation may run it on a
 * clock it moves itself.
 */
public interface Loop extends Executor {
  /** Microseconds from an arbitrary start; never goes back. */
  long now();

  /**
   * Milliseconds since the epoch; may jump, so it is for log lines and protocols only, never for
   * durations.
   */
  long wallMillis();

  /**
   * Runs the task on the loop after all that was handed over before it; callable from any thread.
   */
  @Override
  void execute(Runnable task);

  /**
   * Runs the task once, no sooner than after the delay and never within the running task. Loop
   * thread only.
   *
   * @param delayMicros microseconds; a negative delay counts as zero
   */
  Timer schedule(long delayMicros, Runnable task);

  /** Whether the caller is on the loop's thread. */
  boolean inLoop();

  /** A task that is due later. */
  interface Timer {
    /** Drops the task if it has not run; harmless otherwise. Loop thread only. */
    void cancel();
  }
}
