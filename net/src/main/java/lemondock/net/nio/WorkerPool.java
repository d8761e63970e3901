package lemondock.net.nio;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * Threads for what takes long, with a bounded queue: what does not fit is refused by the caller, at
 * once.
 */
public final class WorkerPool {
  private WorkerPool() {}

  /** So many threads, started as they are needed, and places in their queue. */
  public static ExecutorService create(int threads, int queue, String name) {
    return new ThreadPoolExecutor(
        threads,
        threads,
        1,
        TimeUnit.SECONDS,
        new ArrayBlockingQueue<>(queue),
        task -> {
          Thread thread = new Thread(task, name);
          thread.setDaemon(true);
          return thread;
        });
  }
}
