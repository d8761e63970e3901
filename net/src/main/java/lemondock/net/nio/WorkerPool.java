package lemondock.net.nio;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Creates thread pools with bounded queues for long-running work. */
public final class WorkerPool {
  private static final long KEEP_ALIVE_SECONDS = 1;

  private WorkerPool() {}

  /**
   * Creates a pool of daemon threads. A task beyond its capacity is rejected immediately with
   * {@link java.util.concurrent.RejectedExecutionException}.
   *
   * @param threads number of threads, started as they are needed
   * @param queueCapacity tasks that may wait for a thread
   * @param threadName name given to every thread of the pool
   */
  public static ExecutorService create(int threads, int queueCapacity, String threadName) {
    return new ThreadPoolExecutor(
        threads,
        threads,
        KEEP_ALIVE_SECONDS,
        TimeUnit.SECONDS,
        new ArrayBlockingQueue<>(queueCapacity),
        task -> {
          Thread thread = new Thread(task, threadName);
          thread.setDaemon(true);
          return thread;
        });
  }
}
