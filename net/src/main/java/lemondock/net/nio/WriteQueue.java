package lemondock.net.nio;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import lemondock.net.Connection;

/**
 * Outgoing bytes of one socket: those waiting to be written, and counts of those already written.
 * Any thread; all fields are guarded by the queue's own lock.
 */
final class WriteQueue {
  private static final int TAIL_BYTES = 512;
  private static final int MAX_GATHERED_BUFFERS = 64;
  private static final int MAX_GATHERED_BYTES = 16 * 1024;

  /** The least amount of unsent bytes at which an owner may pause what it writes. */
  private static final long HIGH_WATER_MARK_BYTES = 4 * 1024;

  private static final long LOW_WATER_MARK_BYTES = 1024;

  /** State of the queue after a write. */
  enum State {
    /** The queue was closed while the write was in progress. */
    CLOSED(false, false),
    /** More bytes are queued. */
    NOT_EMPTY(false, false),
    /**
     * More bytes are queued, and the queue has fallen to its low-water mark after being above its
     * high-water mark.
     */
    NOT_EMPTY_AT_LOW_WATER_MARK(false, true),
    /** All bytes are written. */
    EMPTY(true, false),
    /** All bytes are written, and the queue had been above its high-water mark. */
    EMPTY_AT_LOW_WATER_MARK(true, true);

    private final boolean empty;
    private final boolean fellToLowWaterMark;

    State(boolean empty, boolean fellToLowWaterMark) {
      this.empty = empty;
      this.fellToLowWaterMark = fellToLowWaterMark;
    }

    boolean isEmpty() {
      return empty;
    }

    boolean fellToLowWaterMark() {
      return fellToLowWaterMark;
    }
  }

  /** A queued buffer with one byte and the latest time at which it may be sent. */
  private record LimitedByte(ByteBuffer buffer, long latestSendMicros) {}

  // All fields below: any thread, guarded by this.
  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();

  /** Those of the buffers that have a latest time to be sent, in order; usually none. */
  private final ArrayDeque<LimitedByte> limitedBytes = new ArrayDeque<>(0);

  /**
   * A reusable buffer for copied bytes. While queued it is the target of further copies if it is
   * the last buffer; once written it is kept for the next bytes.
   */
  private ByteBuffer tail;

  private boolean tailIsQueued;

  /** Whether a write of the first buffer is in progress. */
  private boolean writing;

  /** Whether the queue was closed while a write was in progress. */
  private boolean closedWhileWriting;

  private boolean aboveHighWaterMark;
  private long pendingBytes;
  private long flushedBytes;
  private long offeredBytes;

  /** Adds a buffer; the queue takes ownership of it. */
  synchronized void add(ByteBuffer bytes) {
    buffers.add(bytes);
    countAdded(bytes.remaining());
  }

  /**
   * Adds a buffer whose last byte has a latest time to be sent. That byte is queued on its own, in
   * a direct buffer, so that little time passes between the check and the system call.
   */
  synchronized void add(ByteBuffer bytes, long latestSendMicros) {
    int lastIndex = bytes.limit() - 1;
    ByteBuffer lastByte = ByteBuffer.allocateDirect(1).put(0, bytes.get(lastIndex));
    bytes.limit(lastIndex);
    if (bytes.hasRemaining()) {
      add(bytes);
    }
    limitedBytes.add(new LimitedByte(lastByte, latestSendMicros));
    add(lastByte);
  }

  /** Copies bytes into the queue. */
  synchronized void addCopy(byte[] bytes, int from, int length) {
    ByteBuffer last = tail;
    boolean tailAcceptsMore =
        last != null && buffers.peekLast() == last && !(writing && buffers.size() == 1);
    if (tailAcceptsMore && last.capacity() - last.limit() >= length) {
      System.arraycopy(bytes, from, last.array(), last.limit(), length);
      last.limit(last.limit() + length);
    } else {
      boolean reusable = last != null && !tailIsQueued && last.capacity() >= length;
      last = reusable ? last.clear() : ByteBuffer.allocate(Math.max(TAIL_BYTES, length));
      System.arraycopy(bytes, from, last.array(), 0, length);
      buffers.add(last.limit(length));
      tail = last.capacity() == TAIL_BYTES ? last : null;
      tailIsQueued = true;
    }
    countAdded(length);
  }

  private void countAdded(int bytes) {
    pendingBytes += bytes;
    aboveHighWaterMark |= pendingBytes > HIGH_WATER_MARK_BYTES;
  }

  /**
   * Starts a write and returns the bytes to write; null if nothing is queued or a write is in
   * progress.
   */
  synchronized ByteBuffer beginWrite() {
    if (writing || buffers.isEmpty()) {
      return null;
    }
    ByteBuffer bytes = buffers.peek();
    if (buffers.size() > 1 && bytes.remaining() < MAX_GATHERED_BYTES && !isLimited(bytes)) {
      bytes = gather();
    }
    writing = true;
    offeredBytes = flushedBytes + bytes.remaining();
    return bytes;
  }

  private boolean isLimited(ByteBuffer buffer) {
    return !limitedBytes.isEmpty() && limitedBytes.peek().buffer() == buffer;
  }

  /**
   * Latest time at which the bytes of the write in progress may be sent; {@link
   * Connection#NO_SEND_LIMIT} if there is no limit.
   */
  synchronized long latestSendMicros() {
    return writing && isLimited(buffers.peek())
        ? limitedBytes.peek().latestSendMicros()
        : Connection.NO_SEND_LIMIT;
  }

  /** Merges the first queued buffers, up to a limit, into one buffer at the head of the queue. */
  private ByteBuffer gather() {
    int count = 0;
    int size = 0;
    for (ByteBuffer buffer : buffers) {
      if (count == MAX_GATHERED_BUFFERS
          || isLimited(buffer)
          || count > 0 && size + buffer.remaining() > MAX_GATHERED_BYTES) {
        break;
      }
      size += buffer.remaining();
      count++;
    }
    ByteBuffer gathered = ByteBuffer.allocate(size);
    for (int i = 0; i < count; i++) {
      gathered.put(removeFirst());
    }
    buffers.addFirst(gathered.flip());
    return gathered;
  }

  private ByteBuffer removeFirst() {
    ByteBuffer first = buffers.poll();
    if (isLimited(first)) {
      limitedBytes.poll();
    }
    tailIsQueued &= first != tail;
    return first;
  }

  /** Ends the write in progress, which wrote the given number of bytes. */
  synchronized State endWrite(long written) {
    writing = false;
    flushedBytes += written;
    pendingBytes = closedWhileWriting ? 0 : pendingBytes - written;
    while (!buffers.isEmpty() && !buffers.peek().hasRemaining()) {
      removeFirst();
    }
    boolean fellToLowWaterMark = aboveHighWaterMark && pendingBytes <= LOW_WATER_MARK_BYTES;
    aboveHighWaterMark &= !fellToLowWaterMark;
    if (closedWhileWriting) {
      return State.CLOSED;
    }
    if (buffers.isEmpty()) {
      return fellToLowWaterMark ? State.EMPTY_AT_LOW_WATER_MARK : State.EMPTY;
    }
    return fellToLowWaterMark ? State.NOT_EMPTY_AT_LOW_WATER_MARK : State.NOT_EMPTY;
  }

  /**
   * Ends the write in progress, which failed.
   *
   * @return whether the queue was closed during the write
   */
  synchronized boolean failWrite() {
    writing = false;
    return closedWhileWriting;
  }

  /**
   * Closes the queue and discards its bytes.
   *
   * @return whether a write is still in progress
   */
  synchronized boolean close() {
    buffers.clear();
    limitedBytes.clear();
    pendingBytes = 0;
    tail = null;
    closedWhileWriting = writing;
    return writing;
  }

  /** Whether a write is in progress. */
  synchronized boolean isWriting() {
    return writing;
  }

  /** Whether the queue was closed while a write was in progress. */
  synchronized boolean isClosed() {
    return closedWhileWriting;
  }

  /** Queued bytes that the operating system has not accepted. */
  synchronized long pendingBytes() {
    return pendingBytes;
  }

  /** Bytes that the operating system has accepted. */
  synchronized long flushedBytes() {
    return flushedBytes;
  }

  /** Bytes for which a system call was started, whether or not it accepted them. */
  synchronized long offeredBytes() {
    return offeredBytes;
  }
}
