package lemondock.faultinjection;

/** Starts the threads of emulated servers and clients, of which a run has hundreds. */
final class DaemonThreads {
  private static final long STACK_BYTES = 256 * 1024;

  private DaemonThreads() {}

  /** Starts a daemon thread with a small stack. */
  static Thread start(String name, Runnable task) {
    Thread thread = new Thread(null, task, name, STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
