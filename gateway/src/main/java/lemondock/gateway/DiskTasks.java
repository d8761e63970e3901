package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks that may block on file I/O, off the loop. Safe for any thread. */
final class DiskTasks {
  private static final Logger LOG = LoggerFactory.getLogger(DiskTasks.class);

  private final Executor executor;
  private final String gatewayName;

  DiskTasks(Executor executor, String gatewayName) {
    this.executor = executor;
    this.gatewayName = gatewayName;
  }

  /**
   * Runs a task that the caller repeats periodically; drops it with a warning if the queue of disk
   * tasks is full.
   */
  void runOrDrop(Runnable task) {
    try {
      executor.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.atWarn()
          .addKeyValue("gateway", gatewayName)
          .log("dropped a disk task: the queue of disk tasks is full");
    }
  }
}
