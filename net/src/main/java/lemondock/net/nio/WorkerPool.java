package lemondock.net.nio;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Makes thread pools for work that takes long, with bounded queues. */
public final class WorkerPool {
  private static final long KEEP_ALIVE_SECONDS = 1;

  private WorkerPool() {}

  /**
   * Makes a pool of daemon threads. A task beyond its capacity is rejected at once with {@link
   * java.util.concurrent.RejectedExecutionException}.
   *
   * @param threads how many, started as they are needed
   * @param queueCapacity tasks that may wait for a thread
   * @param threadName name of each thread
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
