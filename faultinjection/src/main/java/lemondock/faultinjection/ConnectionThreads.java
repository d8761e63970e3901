package lemondock.faultinjection;

import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The threads that serve the connections of all emulated model servers. They are started in
 * advance: starting a thread blocks the starter until the new thread has run, so on a busy machine
 * a thread that accepts connections would let a burst of them wait for seconds, and their requests
 * would seem to have been sent late. Thread-safe.
 */
final class ConnectionThreads {
  /** Number of connections that can be served at the same time without starting a thread. */
  private static final int STARTED_IN_ADVANCE = 512;

  private static final long IDLE_SECONDS = 60;

  private static final ThreadPoolExecutor THREADS = createPool();

  private ConnectionThreads() {}

  private static ThreadPoolExecutor createPool() {
    ThreadFactory daemonThreads = task -> DaemonThreads.create("serve", task);
    return new ThreadPoolExecutor(
        STARTED_IN_ADVANCE,
        Integer.MAX_VALUE,
        IDLE_SECONDS,
        TimeUnit.SECONDS,
        new SynchronousQueue<>(),
        daemonThreads);
  }

  /** Starts the threads, unless they have been started. Returns once all of them exist. */
  static void prepare() {
    THREADS.prestartAllCoreThreads();
  }

  /** Runs a task on an idle thread; without one, a thread is started for it. */
  static void execute(Runnable task) {
    THREADS.execute(task);
  }
}
