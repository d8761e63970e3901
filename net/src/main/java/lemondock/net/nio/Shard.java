package lemondock.net.nio;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.function.Consumer;
import lemondock.net.ByteBudget;

/**
 * A channel group with a single I/O thread.
 *
 * @param number index among the shards of its network
 * @param group group to which the channels of the shard's sockets belong
 * @param threads creates the I/O thread and its successors
 * @param ioThread runs tasks on the I/O thread
 * @param arrivalClock estimates when bytes that the I/O thread reads had arrived
 * @param readBufferBudget budget of the read buffers beyond their minimum size
 */
record Shard(
    int number,
    AsynchronousChannelGroup group,
    IoThreadFactory threads,
    IoThreadExecutor ioThread,
    ArrivalClock arrivalClock,
    ByteBudget readBufferBudget) {

  /**
   * Starts the I/O thread and the arrival clock of a shard.
   *
   * @param onThreadFailure called on an I/O thread that ends by an exception or error; another one
   *     replaces it
   * @throws IOException if the system lacks the resources for them
   */
  static Shard start(
      ThreadLoop loop, int number, ByteBudget readBufferBudget, Consumer<Throwable> onThreadFailure)
      throws IOException {
    IoThreadFactory threads = new IoThreadFactory(number, onThreadFailure, loop.threadEndHandler());
    AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(1, threads);
    IoThreadExecutor ioThread;
    try {
      ioThread = new IoThreadExecutor(loop, group);
    } catch (IOException e) {
      group.shutdownNow();
      throw e;
    }
    return new Shard(
        number, group, threads, ioThread, new ArrivalClock(loop, ioThread), readBufferBudget);
  }

  /** Stops both threads; connections still open are broken. */
  void close() throws IOException {
    arrivalClock.close();
    group.shutdownNow();
  }
}
