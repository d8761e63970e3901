package lemondock.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** Finishes work when the process is told to stop by SIGTERM or SIGINT. */
final class ShutdownSignal {
  private static final CountDownLatch STOPPED = new CountDownLatch(1);

  private ShutdownSignal() {}

  /** Work to finish before the process exits. */
  interface Task {
    void run() throws InterruptedException;
  }

  /** Runs the task on SIGTERM or SIGINT, on a thread of its own; the process exits after it. */
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
    STOPPED.countDown();
  }

  /** Blocks until the task of {@link #beforeExit} is done. */
  static void await() throws InterruptedException {
    STOPPED.await();
  }

  /** Blocks until the task of {@link #beforeExit} is done, or for that long. */
  static void await(Duration limit) throws InterruptedException {
    STOPPED.await(TimeUnit.NANOSECONDS.convert(limit), TimeUnit.NANOSECONDS);
  }

  /** Keeps a command that has nothing to finish running until a signal ends the process. */
  static void awaitWithoutTask() throws InterruptedException {
    beforeExit(() -> {});
    await();
  }
}
