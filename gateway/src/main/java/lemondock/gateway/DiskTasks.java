package lemondock.gateway;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks that may block on files, off the loop. Any thread. */
final class DiskTasks {
  private static final Logger LOG = LoggerFactory.getLogger(DiskTasks.class);

  private final Executor executor;
  private final String gatewayName;

  DiskTasks(Executor executor, String gatewayName) {
    this.executor = executor;
    this.gatewayName = gatewayName;
  }

  /** Runs a task that comes again by itself: it is dropped while too many wait for the disk. */
  void runOrDrop(Runnable task) {
    try {
      executor.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.atWarn().addKeyValue("gateway", gatewayName).log("the queue for the file system is full");
    }
  }
}
