package lemondock.emulator.collect;

/** Starts daemon threads, which do not keep the process alive. */
final class DaemonThreads {
  private DaemonThreads() {}

  static void start(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }
}
