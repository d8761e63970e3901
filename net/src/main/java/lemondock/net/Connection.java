package lemondock.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * A byte stream to one peer. Input is read one batch at a time and only on request. This limit is
 * the only backpressure on input: a connection submits at most one batch to the loop. Loop thread
 * only, unless a method says otherwise.
 */
public interface Connection {
  /** Latest time to send bytes that may be sent at any time. */
  long NO_SEND_LIMIT = Long.MAX_VALUE;

  /**
   * Requests one more batch of bytes. At most one request is pending; a further call has no effect.
   */
  void read();

  /**
   * Reads like {@link #read}, and runs the task on the loop if this read found no input. Whatever
   * is received after that has arrived after this call. If there is input, it is delivered as usual
   * and the task is not run; nor is it run once the connection is closed. No read may be in
   * progress.
   */
  default void readAndReportNoInput(Runnable onNoInput) {
    read();
    onNoInput.run();
  }

  /**
   * Queues bytes for writing. The connection takes ownership of the buffer; once the connection is
   * closed or closing, it discards the bytes.
   */
  void write(ByteBuffer bytes);

  /**
   * Like {@link #write(ByteBuffer)}, but the last byte is sent only if the clock, which is read
   * immediately before the system call, shows an earlier time, and if the system accepts the byte
   * at once. Otherwise the connection is closed with a {@link SendLimitExceededException} and the
   * byte was certainly not sent. Connections without a system call of their own ignore the limit.
   *
   * @param latestSendMicros time on the loop's clock
   */
  default void write(ByteBuffer bytes, long latestSendMicros) {
    write(bytes);
  }

  /**
   * Like {@link #write}, but callable from any thread. While an I/O thread decodes a batch, the
   * bytes are sent once the batch is decoded, together with all others written during that batch.
   * The caller is responsible for the order of its own writes.
   */
  default void writeFromAnyThread(ByteBuffer bytes) {
    write(bytes);
  }

  /** Copies the bytes before it returns, so the caller keeps its array. Any thread. */
  default void writeFromAnyThread(byte[] bytes, int from, int length) {
    writeFromAnyThread(ByteBuffer.wrap(Arrays.copyOfRange(bytes, from, from + length)));
  }

  /** Queued bytes that the operating system has not accepted yet. */
  long pendingBytes();

  /**
   * Bytes that the operating system has accepted so far; distinguishes a stalled peer from a slow
   * one. The count is final once {@link Handler#closed} is called: bytes beyond it were never sent.
   */
  long flushedBytes();

  /**
   * Bytes for which a system call was started, whether or not it accepted them. Bytes beyond this
   * count were certainly not sent. Connections that do not count them return {@link
   * Long#MAX_VALUE}: all bytes may have been sent. Any thread.
   */
  default long offeredBytes() {
    return Long.MAX_VALUE;
  }

  /** Closes once all queued bytes are written. Input that arrives after this call is discarded. */
  void close();

  /**
   * Closes if the owner has received all bytes that were read. The thread that reads decides, so no
   * byte can be read between the decision and the end of output. Meant for an owner that has no
   * response to send and nothing queued; it must not write until it is notified of the close or
   * receives further bytes. If bytes were on their way to the owner, the connection stays open and
   * they are delivered as usual.
   *
   * @param linger whether to read and discard what the peer still sends until it closes too, as
   *     {@link #close} does; otherwise the close is immediate
   */
  default void closeIfIdle(boolean linger) {
    if (linger) {
      close();
    } else {
      abort();
    }
  }

  /** Closes immediately and discards all queued bytes. */
  void abort();

  /**
   * Index of the shard, and so of the I/O thread, that serves this connection. Connections of one
   * shard can hand work to each other without switching threads.
   */
  default int shard() {
    return 0;
  }

  /** The peer's address; null if it is unknown. */
  InetSocketAddress remoteAddress();

  /**
   * Callbacks from a connection to its owner. All run on the loop, except {@link #decode}, {@link
   * #batchArrived} and {@link #continueReading}, which run on an I/O thread.
   */
  interface Handler {
    /** The connection is established; nothing is read until {@link Connection#read} is called. */
    void connected(Connection connection);

    /**
     * Decodes bytes into events, on an I/O thread. Calls for one connection never overlap, and each
     * comes after the events of the previous batch have been handled, so the decoder may keep state
     * without locks. It must consume all bytes and must not access the loop's state.
     */
    void decode(ByteBuffer bytes, List<Object> events);

    /** Whether {@link #batchArrived} should be called. The result must not change. */
    default boolean wantsArrivalTimes() {
      return false;
    }

    /**
     * Reports an estimate of when the whole batch that is decoded next had arrived, on the loop's
     * clock. The estimate is at most some hundredths of a second too late, and it is too early if
     * this process was delayed. On an I/O thread, like {@link #decode}.
     */
    default void batchArrived(long arrivedMicros) {}

    /**
     * Whether to read on immediately after a batch that produced no events for the loop; on an I/O
     * thread, like {@link #decode}. If false, the loop receives the empty batch and decides.
     */
    default boolean continueReading() {
      return false;
    }

    /** Receives the events of one batch, possibly none. */
    void received(List<Object> events);

    /** The peer will send no more bytes; writing may still be possible. */
    void inputEnded();

    /** The write queue has fallen to its low-water mark after being above its high-water mark. */
    void writeQueueDrained();

    /**
     * The connection is closed or could not be established. Called exactly once, as the last
     * callback.
     *
     * @param cause null after an orderly close
     */
    void closed(IOException cause);
  }
}
