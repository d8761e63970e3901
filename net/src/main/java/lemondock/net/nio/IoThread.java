package lemondock.net.nio;

import java.util.ArrayList;

/** A thread of one shard. */
final class IoThread extends Thread {
  static final int EVENTS = 4;
  private final int shard;

  /** Sockets written to while the batch at hand is decoded. */
  private final ArrayList<AsyncConnection> written = new ArrayList<>();

  /** Empty, for the next batch; most batches give no events. */
  private ArrayList<Object> spare = new ArrayList<>(EVENTS);

  IoThread(Runnable task, int shard) {
    super(task, "lemondock-io-" + shard);
    this.shard = shard;
    setDaemon(true);
  }

  int shard() {
    return shard;
  }

  /** The calling thread if it is one of these, else null. */
  static IoThread current() {
    return Thread.currentThread() instanceof IoThread io ? io : null;
  }

  /** An empty list for the events of a batch. */
  ArrayList<Object> events() {
    return spare;
  }

  /** The list given last is in use from now on. */
  void eventsTaken() {
    spare = new ArrayList<>(EVENTS);
  }

  /** Has the connection written to when the batch at hand is decoded. */
  void writesAfterBatch(AsyncConnection connection) {
    written.add(connection);
  }

  /** Writes what the batch at hand led to. */
  void flushWritten() {
    for (int i = 0; i < written.size(); i++) {
      written.get(i).flushAfterBatch();
    }
    written.clear();
  }
}
