package lemondock.net.nio;

import java.util.ArrayList;
import java.util.function.Consumer;

/** The I/O thread of one shard. Only this thread accesses its state. */
final class IoThread extends Thread {
  /** Initial capacity of the list of a batch's events; most batches produce no event. */
  static final int INITIAL_EVENT_CAPACITY = 4;

  private final int shard;
  private final Consumer<Throwable> onFailure;

  // All fields below: I/O thread only.
  /** Writers of the sockets written to while the current batch is decoded. */
  private final ArrayList<SocketWriter> writersToFlush = new ArrayList<>();

  /** Events of the current batch; empty before it is decoded. */
  private ArrayList<Object> batchEvents = new ArrayList<>(INITIAL_EVENT_CAPACITY);

  /**
   * Creates a thread that is not started yet.
   *
   * @param onFailure called on this thread when it ends by an exception or error; its channel group
   *     replaces it
   */
  IoThread(Runnable task, int shard, Consumer<Throwable> onFailure) {
    super(task, "lemondock-io-" + shard);
    this.shard = shard;
    this.onFailure = onFailure;
    setDaemon(true);
  }

  @Override
  public void run() {
    try {
      super.run();
    } catch (RuntimeException | Error e) {
      onFailure.accept(e);
    }
  }

  int shard() {
    return shard;
  }

  /** The calling thread if it is an I/O thread, else null. */
  static IoThread current() {
    return Thread.currentThread() instanceof IoThread thread ? thread : null;
  }

  /** An empty list for the events of a batch; it is replaced only after it has been filled. */
  ArrayList<Object> batchEvents() {
    return batchEvents;
  }

  /** Schedules a flush of the socket for when the current batch is decoded. */
  void flushAfterBatch(SocketWriter writer) {
    writersToFlush.add(writer);
  }

  /** Called when the current batch is decoded: flushes the sockets written to meanwhile. */
  void batchDecoded() {
    if (!batchEvents.isEmpty()) {
      batchEvents =
          new ArrayList<>(INITIAL_EVENT_CAPACITY); // the previous list now belongs to the loop
    }
    for (int i = 0; i < writersToFlush.size(); i++) {
      writersToFlush.get(i).batchDecoded();
    }
    writersToFlush.clear();
  }
}
