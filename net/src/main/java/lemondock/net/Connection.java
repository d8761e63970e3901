package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * One byte stream to a peer. Input is read one batch at a time and only on request: that is the
 * whole of backpressure, and it bounds what a connection can hand to the loop to one batch. Loop
 * thread only, unless a method says otherwise.
 */
public interface Connection {
  /**
   * Requests one more batch of bytes; at most one such request is open, a further one changes
   * nothing.
   */
  void read();

  /**
   * Queues bytes; the buffer belongs to the connection from here on. After a close it is dropped.
   */
  void write(ByteBuffer bytes);

  /**
   * The same from any thread. On an I/O thread the bytes go out when the batch at hand is decoded,
   * with all others of that batch. The caller is responsible for the order of its own writes.
   */
  default void writeFromAnyThread(ByteBuffer bytes) {
    write(bytes);
  }

  /** The same for bytes that stay the caller's: they are copied before this returns. Any thread. */
  default void writeFromAnyThread(byte[] bytes, int from, int length) {
    writeFromAnyThread(ByteBuffer.wrap(Arrays.copyOfRange(bytes, from, from + length)));
  }

  /** Bytes queued that the operating system has not taken yet. */
  long pendingBytes();

  /**
   * Bytes that the operating system has taken so far; tells a stalled peer from a slow one. Once
   * {@link Handler#closed} is called it is final: what lies beyond it never left.
   */
  long flushedBytes();

  /**
   * Bytes that a system call was begun for, taken by it or not. What lies beyond has certainly not
   * left. Connections that cannot tell return {@link Long#MAX_VALUE}: all may have left. Any
   * thread.
   */
  default long offeredBytes() {
    return Long.MAX_VALUE;
  }

  /** Closes once all queued bytes are written; nothing is read from here on. */
  void close();

  /**
   * Closes, if its owner has seen all bytes that were read: the thread that reads decides, so that
   * no byte is read between the decision and the end of sending. For an owner that has nothing to
   * answer and nothing queued; until it hears of the close or of further bytes it must not write.
   * If bytes were on their way to it, nothing happens but that they come as always.
   *
   * @param linger whether to take and drop what the peer still sends until it closes too, as {@link
   *     #close} does; otherwise the close is immediate
   */
  default void closeIfIdle(boolean linger) {
    if (linger) {
      close();
    } else {
      abort();
    }
  }

  /** Closes immediately and drops what is queued. */
  void abort();

  /**
   * Number of the I/O thread that serves it; connections of one shard reach each other without a
   * change of threads.
   */
  default int shard() {
    return 0;
  }

  /** The peer's address; null if it is not known any more. */
  InetSocketAddress remoteAddress();

  /**
   * What a connection calls its owner for. On the loop, except for {@link #decode} and {@link
   * #continueReading}.
   */
  interface Handler {
    /** The connection is up; nothing is read until {@link Connection#read}. */
    void connected(Connection connection);

    /**
     * Turns bytes into events, on an I/O thread. Never called twice at a time for one connection,
     * and always after the events of the batch before have been handled, so it may keep state
     * without locks. It must take all bytes and must not touch the loop's state.
     */
    void decode(ByteBuffer bytes, List<Object> events);

    /** Whether {@link #batchArrived} is to be called; the answer never changes. */
    default boolean wantsArrivalTimes() {
      return false;
    }

    /**
     * The batch that is decoded next had all arrived by that moment of the loop's clock; told late
     * by some hundredths of a second at most, and early where this process was held up. On an I/O
     * thread, like {@link #decode}.
     */
    default void batchArrived(long arrivedMicros) {}

    /**
     * Whether to continue reading at once after a batch that gave no events for the loop; on an I/O
     * thread, like {@link #decode}. Otherwise the loop hears of the empty batch and decides.
     */
    default boolean continueReading() {
      return false;
    }

    /** The events of one batch, possibly none. */
    void received(List<Object> events);

    /** The peer will send no more; writing may still be possible. */
    void inputEnded();

    /** The queue has fallen to its low mark after having been above its high mark. */
    void writeQueueDrained();

    /**
     * The connection is closed, or never came up; called exactly once, last.
     *
     * @param cause null after an orderly close
     */
    void closed(IOException cause);
  }
}
