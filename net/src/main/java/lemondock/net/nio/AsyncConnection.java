package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondock.net.Connection;

/**
 * One socket's connection: what is read becomes events on its I/O thread, what is written is
 * queued. The queue of writes is shared with the I/O threads, under its own lock; all else is the
 * loop's unless it is said to be the I/O thread's.
 */
final class AsyncConnection implements Connection, CompletionHandler<Integer, Void> {
  private static final int READ_BYTES = 4 * 1024;
  private static final int MOST_READ_BYTES = 32 * 1024;
  private static final int TAIL_BYTES = 512;
  private static final int MOST_GATHERED = 64;
  private static final int MOST_AT_ONCE = 16 * 1024;
  private static final long HIGH_MARK = 64 * 1024;
  private static final long LOW_MARK = 16 * 1024;
  private static final long LINGER = 500_000;

  /**
   * What a read gives at the end; the JDK's channels give less where a system call was interrupted,
   * for reads and writes.
   */
  private static final int END_OF_STREAM = -1;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Handler handler;
  private final Consumer<AsyncConnection> onClosed;
  private final int shard;
  private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
  private InetSocketAddress peer;
  private boolean writing;

  /**
   * Closed while a write is under way: what it brought must be known before the owner hears of the
   * close.
   */
  private boolean closeWaits;

  private IOException closeCause;
  private boolean wasHigh;
  private volatile boolean closeWhenFlushed;
  private boolean lingering;
  private long pending;
  private long flushed;
  private long offered;
  private boolean flushSet;
  private boolean connected;
  private boolean reading;
  private boolean ended;
  private volatile boolean closed;
  private ByteBuffer readBuffer;
  private volatile boolean dirty;
  private int readBytes = READ_BYTES;

  /** Batches that the I/O thread has read for the loop; written by that thread alone. */
  private int batchesRead;

  /** Of those, the ones that the owner has seen; the loop's. */
  private int batchesSeen;

  /** The owner wants a close if nothing comes until all is written. */
  private volatile boolean idleCloseWaits;

  private boolean idleCloseLingers;
  private final Runnable flushAtTurnEnd = this::atTurnEnd;
  private final Runnable flush = this::flush;
  private final CompletionHandler<Integer, Void> heard =
      new CompletionHandler<>() {
        @Override
        public void completed(Integer count, Void attachment) {
          handOver(count);
        }

        @Override
        public void failed(Throwable cause, Void attachment) {
          loop.executeHere(() -> fail(ChannelSupport.asIo(cause)));
        }
      };

  /**
   * The last of the queue if it is this socket's own and takes more; when all is written it waits
   * for the next bytes.
   */
  private ByteBuffer tail;

  private boolean tailQueued;

  /**
   * {@code onClosed} is run on the loop in the moment of the close, before the owner hears of it.
   */
  AsyncConnection(
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      int shard,
      Handler handler,
      Consumer<AsyncConnection> onClosed) {
    this.loop = loop;
    this.channel = channel;
    this.shard = shard;
    this.handler = handler;
    this.onClosed = onClosed;
  }

  void up() {
    if (closed) {
      return;
    }
    connected = true;
    try {
      peer = (InetSocketAddress) channel.getRemoteAddress();
    } catch (IOException e) {
      fail(e);
      return;
    }
    handler.connected(this);
    if (!closed) {
      flushLater();
    }
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return peer;
  }

  @Override
  public void read() {
    if (reading || ended || closed || !connected) {
      return;
    }
    reading = true;
    loop.outside(this::startRead);
  }

  @Override
  public int shard() {
    return shard;
  }

  private void startRead() {
    if (readBuffer == null || readBuffer.capacity() != readBytes) {
      readBuffer = ByteBuffer.allocate(readBytes);
    }
    readBuffer.clear();
    channel.read(readBuffer, null, heard);
  }

  /** On an I/O thread: the only place where bytes become events. */
  private void handOver(int count) {
    if (count < END_OF_STREAM) {
      startRead(); // interrupted: nothing was read, and nothing has ended
      return;
    }
    if (count < 0) {
      loop.executeHere(
          () -> {
            reading = false;
            ended = true;
            if (lingering) {
              finish(null);
            } else if (!closed) {
              handler.inputEnded();
            }
          });
      return;
    }
    if (closeWhenFlushed) {
      loop.executeHere(
          () -> {
            reading = false;
            if (lingering) {
              read();
            }
          });
      return;
    }
    // a peer that sends much is read in larger pieces while it does; one that is waited for
    // holds little memory
    readBytes = count == readBytes ? Math.min(MOST_READ_BYTES, 2 * readBytes) : READ_BYTES;
    batchesRead++;
    IoThread io = IoThread.current();
    ArrayList<Object> events = io == null ? new ArrayList<>(IoThread.EVENTS) : io.events();
    boolean readsOn;
    try {
      handler.decode(readBuffer.flip(), events);
      readsOn = events.isEmpty() && handler.continueReading();
    } catch (RuntimeException
        | Error e) { // what escapes would end the shard's thread and leave its sockets
      // unheard
      loop.failed(e);
      loop.executeHere(() -> fail(new IOException("decoder failed: " + e, e)));
      return;
    } finally {
      if (io != null && !events.isEmpty()) {
        io.eventsTaken();
      }
      if (io != null) {
        io.flushWritten();
      }
    }
    if (readsOn) {
      batchesRead--;
      startRead();
      return;
    }
    List<Object> batch = events.isEmpty() ? List.of() : events;
    loop.executeHere(
        () -> {
          reading = false;
          batchesSeen++;
          idleCloseWaits = false;
          if (lingering) {
            read();
          } else if (!closed && !closeWhenFlushed) {
            handler.received(batch);
          }
        });
  }

  @Override
  public void write(ByteBuffer bytes) {
    if (queued(bytes)) {
      flushLater();
    }
  }

  /** Any thread; a close seen late on another thread is as if the bytes had been on their way. */
  private boolean queued(ByteBuffer bytes) {
    if (closed || closeWhenFlushed || !bytes.hasRemaining()) {
      return false;
    }
    synchronized (queue) {
      queue.add(bytes);
      pending += bytes.remaining();
      wasHigh |= pending > HIGH_MARK;
    }
    return true;
  }

  @Override
  public void writeFromAnyThread(ByteBuffer bytes) {
    if (queued(bytes)) {
      flushSoon();
    }
  }

  @Override
  public void writeFromAnyThread(byte[] bytes, int from, int length) {
    if (closed || closeWhenFlushed || length == 0) {
      return;
    }
    synchronized (queue) {
      ByteBuffer last = tail;
      boolean open = last != null && queue.peekLast() == last && !(writing && queue.size() == 1);
      if (open && last.capacity() - last.limit() >= length) {
        System.arraycopy(bytes, from, last.array(), last.limit(), length);
        last.limit(last.limit() + length);
      } else {
        boolean free = last != null && !tailQueued && last.capacity() >= length;
        last = free ? last.clear() : ByteBuffer.allocate(Math.max(TAIL_BYTES, length));
        System.arraycopy(bytes, from, last.array(), 0, length);
        queue.add(last.limit(length));
        tail = last.capacity() == TAIL_BYTES ? last : null;
        tailQueued = true;
      }
      pending += length;
      wasHigh |= pending > HIGH_MARK;
    }
    flushSoon();
  }

  /** With the rest of the turn or of the batch at hand, or at once where there is neither. */
  private void flushSoon() {
    if (loop.inLoop()) {
      flushLater();
      return;
    }
    IoThread io = IoThread.current();
    if (io == null) {
      flush();
    } else if (!dirty) {
      dirty = true;
      io.writesAfterBatch(this);
    }
  }

  /** On the I/O thread, once the batch is decoded that led to writes. */
  void flushAfterBatch() {
    dirty = false;
    flush();
  }

  private void flushLater() {
    if (!flushSet && connected) {
      flushSet = true;
      loop.atTurnEnd(flushAtTurnEnd);
    }
  }

  private void atTurnEnd() {
    flushSet = false;
    loop.outside(flush);
  }

  /**
   * Writes what is queued unless a write is under way. On a thread of the socket's shard the write
   * is tried at once and its handler called here; elsewhere the shard's thread does it when the
   * socket can take it. Either way nothing is done for a peer that takes nothing until it does.
   */
  private void flush() {
    ByteBuffer bytes;
    synchronized (queue) {
      if (writing || queue.isEmpty()) {
        return;
      }
      bytes = queue.peek();
      if (queue.size() > 1 && bytes.remaining() < MOST_AT_ONCE) {
        bytes = joined();
      }
      writing = true;
      offered = flushed + bytes.remaining();
    }
    channel.write(bytes, null, this);
  }

  /** Puts what is queued, up to a bound, into one buffer at the head of the queue. */
  private ByteBuffer joined() {
    int count = 0;
    int size = 0;
    for (ByteBuffer b : queue) {
      if (count == MOST_GATHERED || count > 0 && size + b.remaining() > MOST_AT_ONCE) {
        break;
      }
      size += b.remaining();
      count++;
    }
    ByteBuffer all = ByteBuffer.allocate(size);
    for (int i = 0; i < count; i++) {
      all.put(taken());
    }
    queue.addFirst(all.flip());
    return all;
  }

  private ByteBuffer taken() {
    ByteBuffer head = queue.poll();
    tailQueued &= head != tail;
    return head;
  }

  @Override
  public void completed(Integer count, Void attachment) {
    written(Math.max(0, count)); // less than nothing was written where the call was interrupted
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    boolean late;
    synchronized (queue) {
      writing = false;
      late = closeWaits;
    }
    if (late) {
      loop.execute(() -> handler.closed(closeCause));
    } else {
      loop.executeHere(() -> fail(ChannelSupport.asIo(cause)));
    }
  }

  private void written(long count) {
    boolean tell;
    boolean empty;
    boolean late;
    synchronized (queue) {
      writing = false;
      flushed += count;
      late = closeWaits;
      pending = late ? 0 : pending - count;
      while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
        taken();
      }
      empty = queue.isEmpty();
      tell = wasHigh && pending <= LOW_MARK;
      wasHigh &= !tell;
    }
    if (late) {
      loop.execute(() -> handler.closed(closeCause));
      return;
    }
    if (!empty) {
      flush();
    }
    if (tell || empty && (closeWhenFlushed || idleCloseWaits)) {
      loop.executeHere(
          () -> {
            if (tell && !closed) {
              handler.writeQueueDrained();
            }
            if (closeWhenFlushed && pendingBytes() == 0) {
              linger();
            } else if (idleCloseWaits && pendingBytes() == 0 && !closed) {
              endUnlessReading();
            }
          });
    }
  }

  @Override
  public long pendingBytes() {
    synchronized (queue) {
      return pending;
    }
  }

  @Override
  public long flushedBytes() {
    synchronized (queue) {
      return flushed;
    }
  }

  @Override
  public long offeredBytes() {
    synchronized (queue) {
      return offered;
    }
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closeWhenFlushed = true;
    if (pendingBytes() == 0) {
      linger();
    }
  }

  /**
   * An empty write is completed on the thread that does all reads of this socket, whatever thread
   * asks for it: what that thread has read before is counted by then, and it reads nothing while it
   * decides.
   */
  @Override
  public void closeIfIdle(boolean lingers) {
    if (closed || closeWhenFlushed) {
      return;
    }
    idleCloseWaits = true;
    idleCloseLingers = lingers;
    if (pendingBytes() == 0) {
      endUnlessReading();
    }
  }

  private void endUnlessReading() {
    idleCloseWaits = false;
    int seen = batchesSeen;
    boolean lingers = idleCloseLingers;
    CompletionHandler<Integer, Void> onReadingThread =
        new CompletionHandler<>() {
          @Override
          public void completed(Integer nothing, Void attachment) {
            endUnlessRead(seen, lingers);
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeHere(() -> fail(ChannelSupport.asIo(cause)));
          }
        };
    loop.outside(
        () -> {
          try {
            channel.write(ByteBuffer.allocate(0), null, onReadingThread);
          } catch (RuntimeException e) {
            onReadingThread.failed(e, null);
          }
        });
  }

  /** On the I/O thread. */
  private void endUnlessRead(int seen, boolean lingers) {
    if (batchesRead != seen || closed) {
      return;
    }
    closeWhenFlushed = true; // what is read from here on is dropped
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      ChannelSupport.closeQuietly(channel); // broken already; the loop finds it so
    }
    loop.executeHere(
        () -> {
          if (lingers) {
            linger();
          } else {
            finish(null);
          }
        });
  }

  /**
   * Says that no more comes, then takes and drops what the peer still sends until it closes too or
   * time is up. Closing with bytes unread would send a reset, and that can destroy an answer on its
   * way.
   */
  private void linger() {
    if (closed || lingering) {
      return;
    }
    if (ended || !connected) {
      finish(null);
      return;
    }
    lingering = true;
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      finish(null);
      return;
    }
    loop.schedule(LINGER, () -> finish(null));
    if (!reading) {
      read();
    }
  }

  @Override
  public void abort() {
    finish(null);
  }

  void fail(IOException cause) {
    finish(cause);
  }

  private void finish(IOException cause) {
    if (closed) {
      return;
    }
    closed = true;
    ChannelSupport.closeQuietly(channel);
    boolean waits;
    synchronized (queue) {
      queue.clear();
      pending = 0;
      tail = null;
      waits = writing;
      closeWaits = writing;
      closeCause = cause;
    }
    onClosed.accept(this);
    if (!waits) {
      loop.execute(() -> handler.closed(cause));
    }
  }
}
