package lemondock.net;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * One byte stream to a peer. Reading is asked for a batch at a time and nothing is read unasked:
 * that is the whole of backpressure, and it bounds what a connection can put before the loop to one
 * batch. Loop thread only.
 */
public interface Connection {
  /**
   * Asks for one more batch of bytes; at most one such request is open, a further one changes
   * nothing.
   */
  void read();

  /**
   * Queues bytes; the buffer belongs to the connection from here on. After a close it is dropped.
   */
  void write(ByteBuffer bytes);

  /**
   * The same from any thread. On an I/O thread the bytes go out when the batch at hand is decoded,
   * with all others of that batch. Whoever calls it sees to the order of its own writes.
   */
  default void writeFromAnyThread(ByteBuffer bytes) {
    write(bytes);
  }

  /** The same for bytes that stay the caller's: they are copied before this returns. */
  default void writeFromAnyThread(byte[] bytes, int from, int length) {
    writeFromAnyThread(ByteBuffer.wrap(java.util.Arrays.copyOfRange(bytes, from, from + length)));
  }

  /** Bytes queued that the operating system has not taken yet. */
  long pendingBytes();

  /**
   * Bytes that the operating system has taken so far; tells a stalled peer from a slow one. Once
   * {@link Handler#closed} is called it is final: what lies beyond it never left.
   */
  long flushedBytes();

  /**
   * Bytes that a system call was begun for, taken by it or not; any thread. What lies beyond has
   * certainly not left. Connections that cannot tell say that all may have.
   */
  default long offeredBytes() {
    return Long.MAX_VALUE;
  }

  /** Closes once all queued bytes are written; nothing is read from here on. */
  void close();

  /**
   * Closes, if its owner has seen all bytes that were read: the thread that reads decides, so that
   * no byte is read between the decision and the end of sending. For an owner that owes nothing and
   * has nothing queued; until it hears of the close or of further bytes it is to write nothing. If
   * bytes were on their way to it nothing happens but that they come, as always.
   *
   * @param linger whether to take and drop what the peer still sends until it closes too, as {@link
   *     #close} does; else the close is at once
   */
  default void closeIfIdle(boolean linger) {
    if (linger) {
      close();
    } else {
      abort();
    }
  }

  /** Closes at once and drops what is queued. */
  void abort();

  /**
   * The I/O thread that serves it, by number; connections of one shard reach each other without a
   * hand-over.
   */
  default int shard() {
    return 0;
  }

  /** The far end; null if it is not known any more. */
  InetSocketAddress remoteAddress();

  /**
   * What a connection tells its owner. Each method but {@link #decode} and {@link #continueReading}
   * is called on the loop.
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

    /**
     * Whether to read on at once after a batch that gave no events for the loop; on an I/O thread,
     * like {@link #decode}. Where it says no the loop hears of the empty batch and decides.
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
     * The connection is closed, or never came up; called exactly once, last. Null after an orderly
     * close.
     */
    void closed(java.io.IOException cause);
  }
}
