package lemondock.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Waits for the signals that stop a process (SIGTERM, SIGINT) and lets it finish its work first.
 */
final class Stops {
  private static final CountDownLatch STOPPED = new CountDownLatch(1);

  private Stops() {}

  /** Something to do before the process ends. */
  interface Task {
    void run() throws InterruptedException;
  }

  static void onSignal(Task task) {
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

  /** Waits for a signal, or so many seconds. */
  static void await(long seconds) throws InterruptedException {
    if (seconds == Long.MAX_VALUE) {
      STOPPED.await();
    } else {
      STOPPED.await(seconds, TimeUnit.SECONDS);
    }
  }
}
