package lemondock.net.nio;

import java.io.IOException;
import java.nio.channels.AsynchronousChannelGroup;

/**
 * A channel group with a single I/O thread.
 *
 * @param number index among the shards of its network
 * @param group group to which the channels of the shard's sockets belong
 * @param ioThread runs tasks on the I/O thread
 * @param arrivalClock estimates when bytes that the I/O thread reads had arrived
 */
record Shard(
    int number,
    AsynchronousChannelGroup group,
    IoThreadExecutor ioThread,
    ArrivalClock arrivalClock) {

  /**
   * Starts the I/O thread and the arrival clock of a shard.
   *
   * @throws IOException if the system lacks the resources for them
   */
  static Shard start(ThreadLoop loop, int number) throws IOException {
    AsynchronousChannelGroup group =
        AsynchronousChannelGroup.withFixedThreadPool(1, task -> new IoThread(task, number));
    IoThreadExecutor ioThread = new IoThreadExecutor(loop, group);
    return new Shard(number, group, ioThread, new ArrivalClock(loop, ioThread));
  }

  /** Stops both threads; connections still open are broken. */
  void close() throws IOException {
    arrivalClock.close();
    group.shutdownNow();
  }
}
