package lemondock.cli;

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
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  try {
                    task.run();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                  STOPPED.countDown();
                },
                "lemondock-stop"));
  }

  /** Blocks until the task of {@link #beforeExit} is done, or for {@code seconds}. */
  static void await(long seconds) throws InterruptedException {
    if (seconds == Long.MAX_VALUE) {
      STOPPED.await();
    } else {
      STOPPED.await(seconds, TimeUnit.SECONDS);
    }
  }
}
