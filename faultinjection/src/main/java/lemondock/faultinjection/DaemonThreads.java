package lemondock.faultinjection;

/** Starts the threads of emulated servers and clients. A run has hundreds of them. */
final class DaemonThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private DaemonThreads() {}

  /** Starts a daemon thread with a stack of 256 KiB. */
  static Thread start(String name, Runnable task) {
    Thread thread = create(name, task);
    thread.start();
    return thread;
  }

  /** Creates a daemon thread with a stack of 256 KiB, which is not started yet. */
  static Thread create(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    return thread;
  }
}
