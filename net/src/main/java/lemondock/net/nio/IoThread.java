package lemondock.net.nio;

import java.util.ArrayList;

/** The I/O thread of one shard. All state is this thread's alone. */
final class IoThread extends Thread {
  /** Places in the list of a batch's events; most batches give none. */
  static final int EVENTS = 4;

  private final int shard;

  // I/O thread only, each from here on:
  /** Sockets written to while the batch at hand is decoded. */
  private final ArrayList<SocketWriter> written = new ArrayList<>();

  /** Events of the batch at hand; empty before it is decoded. */
  private ArrayList<Object> batchEvents = new ArrayList<>(EVENTS);

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
    return Thread.currentThread() instanceof IoThread thread ? thread : null;
  }

  /** An empty list for the events of a batch; a new one comes only where it was used. */
  ArrayList<Object> batchEvents() {
    return batchEvents;
  }

  /** Has the socket written to when the batch at hand is decoded. */
  void flushAfterBatch(SocketWriter writer) {
    written.add(writer);
  }

  /** The batch at hand is decoded: writes what it led to. */
  void batchDecoded() {
    if (!batchEvents.isEmpty()) {
      batchEvents = new ArrayList<>(EVENTS); // the loop has the last one
    }
    for (int i = 0; i < written.size(); i++) {
      written.get(i).batchDecoded();
    }
    written.clear();
  }
}
