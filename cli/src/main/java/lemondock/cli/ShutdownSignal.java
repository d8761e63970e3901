package lemondock.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Runs a task before the process exits on SIGTERM or SIGINT. */
final class ShutdownSignal {
  private static final CountDownLatch TASK_FINISHED = new CountDownLatch(1);

  private ShutdownSignal() {}

  /** The work to do before the process exits. */
  interface Task {
    void run() throws InterruptedException;
  }

  /**
   * Runs the task on its own thread on SIGTERM or SIGINT; the process exits when it is finished.
   */
  static void beforeExit(Task task) {
    Thread hook = new Thread(() -> finish(task), "lemondock-stop");
    Runtime.getRuntime().addShutdownHook(hook);
  }

  private static void finish(Task task) {
    try {
      task.run();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    TASK_FINISHED.countDown();
  }

  /** Blocks until the task of {@link #beforeExit} is finished. */
  static void await() throws InterruptedException {
    TASK_FINISHED.await();
  }

  /** Blocks until the task of {@link #beforeExit} is finished, at most for the given time. */
  static void await(Duration timeout) throws InterruptedException {
    TASK_FINISHED.await(TimeUnit.NANOSECONDS.convert(timeout), TimeUnit.NANOSECONDS);
  }

  /** Blocks a command that needs no shutdown task until a signal ends the process. */
  static void awaitWithoutTask() throws InterruptedException {
    beforeExit(() -> {});
    await();
  }
}
