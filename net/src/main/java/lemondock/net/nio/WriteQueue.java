package lemondock.net.nio;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;

/**
 * Bytes of one socket that wait to be written, and how far they have come. Any thread; all fields
 * are guarded by the queue's own lock.
 */
final class WriteQueue {
  private static final int TAIL_BYTES = 512;
  private static final int MAX_GATHERED_BUFFERS = 64;
  private static final int MAX_GATHERED_BYTES = 16 * 1024;
  private static final long HIGH_MARK_BYTES = 64 * 1024;
  private static final long LOW_MARK_BYTES = 16 * 1024;

  /** How the queue stands after a write. */
  enum State {
    /** The queue was closed while the write was in progress. */
    CLOSED(false, false),
    /** More is queued. */
    NOT_EMPTY(false, false),
    /** More is queued, and the queue has fallen to its low mark after being above its high mark. */
    NOT_EMPTY_AT_LOW_MARK(false, true),
    /** All is written. */
    EMPTY(true, false),
    /** All is written, and before that the queue was above its high mark. */
    EMPTY_AT_LOW_MARK(true, true);

    private final boolean empty;
    private final boolean fellToLowMark;

    State(boolean empty, boolean fellToLowMark) {
      this.empty = empty;
      this.fellToLowMark = fellToLowMark;
    }

    boolean isEmpty() {
      return empty;
    }

    boolean fellToLowMark() {
      return fellToLowMark;
    }
  }

  // Any thread, guarded by this, each from here on:
  private final ArrayDeque<ByteBuffer> buffers = new ArrayDeque<>();

  /**
   * The last of the queue if it is this socket's own and takes more; when all is written it waits
   * for the next bytes.
   */
  private ByteBuffer tail;

  private boolean tailQueued;

  /** A write of the first buffer is in progress. */
  private boolean writing;

  /** Closed while a write was in progress. */
  private boolean closedWhileWriting;

  private boolean aboveHighMark;
  private long pendingBytes;
  private long flushedBytes;
  private long offeredBytes;

  /** Adds a buffer, which belongs to the queue from here on. */
  synchronized void add(ByteBuffer bytes) {
    buffers.add(bytes);
    countAdded(bytes.remaining());
  }

  /** Copies bytes into the queue. */
  synchronized void addCopy(byte[] bytes, int from, int length) {
    ByteBuffer last = tail;
    boolean takesMore =
        last != null && buffers.peekLast() == last && !(writing && buffers.size() == 1);
    if (takesMore && last.capacity() - last.limit() >= length) {
      System.arraycopy(bytes, from, last.array(), last.limit(), length);
      last.limit(last.limit() + length);
    } else {
      boolean reusable = last != null && !tailQueued && last.capacity() >= length;
      last = reusable ? last.clear() : ByteBuffer.allocate(Math.max(TAIL_BYTES, length));
      System.arraycopy(bytes, from, last.array(), 0, length);
      buffers.add(last.limit(length));
      tail = last.capacity() == TAIL_BYTES ? last : null;
      tailQueued = true;
    }
    countAdded(length);
  }

  private void countAdded(int bytes) {
    pendingBytes += bytes;
    aboveHighMark |= pendingBytes > HIGH_MARK_BYTES;
  }

  /** What to write next; null if nothing is queued or a write is in progress. */
  synchronized ByteBuffer beginWrite() {
    if (writing || buffers.isEmpty()) {
      return null;
    }
    ByteBuffer bytes = buffers.peek();
    if (buffers.size() > 1 && bytes.remaining() < MAX_GATHERED_BYTES) {
      bytes = gather();
    }
    writing = true;
    offeredBytes = flushedBytes + bytes.remaining();
    return bytes;
  }

  /** Puts what is queued, up to a bound, into one buffer at the head of the queue. */
  private ByteBuffer gather() {
    int count = 0;
    int size = 0;
    for (ByteBuffer buffer : buffers) {
      if (count == MAX_GATHERED_BUFFERS
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
    tailQueued &= first != tail;
    return first;
  }

  /** The write in progress has written so many bytes. */
  synchronized State endWrite(long written) {
    writing = false;
    flushedBytes += written;
    pendingBytes = closedWhileWriting ? 0 : pendingBytes - written;
    while (!buffers.isEmpty() && !buffers.peek().hasRemaining()) {
      removeFirst();
    }
    boolean fellToLowMark = aboveHighMark && pendingBytes <= LOW_MARK_BYTES;
    aboveHighMark &= !fellToLowMark;
    if (closedWhileWriting) {
      return State.CLOSED;
    }
    if (buffers.isEmpty()) {
      return fellToLowMark ? State.EMPTY_AT_LOW_MARK : State.EMPTY;
    }
    return fellToLowMark ? State.NOT_EMPTY_AT_LOW_MARK : State.NOT_EMPTY;
  }

  /**
   * The write in progress has failed.
   *
   * @return whether the queue was closed meanwhile
   */
  synchronized boolean failWrite() {
    writing = false;
    return closedWhileWriting;
  }

  /**
   * Drops what is queued.
   *
   * @return whether a write is still in progress
   */
  synchronized boolean close() {
    buffers.clear();
    pendingBytes = 0;
    tail = null;
    closedWhileWriting = writing;
    return writing;
  }

  /** Bytes queued that the operating system has not taken. */
  synchronized long pendingBytes() {
    return pendingBytes;
  }

  /** Bytes that the operating system has taken. */
  synchronized long flushedBytes() {
    return flushedBytes;
  }

  /** Bytes that a system call was begun for, taken by it or not. */
  synchronized long offeredBytes() {
    return offeredBytes;
  }
}
