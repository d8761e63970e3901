package lemondock.net.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.nio.channels.WritePendingException;
import java.util.OptionalLong;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.net.Connection;
import lemondock.net.NetworkListener.SocketCall;
import lemondock.net.SendLimitExceededException;

/**
 * The write path of one socket: decides when queued bytes are written. A write that fails without
 * ending the connection is tried again ({@link TransferRetry}). Any thread, unless a method says
 * otherwise.
 */
final class SocketWriter implements CompletionHandler<Integer, Void> {
  /** Upper bound on the wait for the dedicated thread to register a write again. */
  private static final long REGISTRATION_TIMEOUT_MILLIS = 50;

  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final IoThreadExecutor ioThread;
  private final int shardNumber;
  private final Runnable flushAtTurnEnd = this::flushOutsideLoop;
  private final Runnable flush = this::flush;

  /** Any thread, guarded by its own lock. */
  private final WriteQueue queue = new WriteQueue();

  /** Loop thread only. */
  private boolean flushScheduled;

  /**
   * Whether a flush is scheduled for the end of the current batch. Any thread: set by the thread
   * that queues bytes, cleared by the I/O thread that flushes.
   */
  private volatile boolean flushesAfterBatch;

  /** Whether the write that was started last has completed. I/O thread only. */
  private boolean writeCompleted;

  /** I/O thread only. */
  private final TransferRetry retry = new TransferRetry();

  /**
   * The bytes of a write whose registration for readiness failed and is to be tried again; null if
   * there is none. I/O thread only.
   */
  private ByteBuffer unregisteredBytes;

  /**
   * Whether the JDK no longer polls the socket, so that the next write has to be registered rather
   * than tried. Set on the I/O thread, read on any thread.
   */
  private volatile boolean unpolled;

  /**
   * Bytes of the write in progress, for {@link #recoverLostCompletion}; null if there is none,
   * since a pooled connection would keep the request it wrote last in memory. I/O thread only.
   */
  private ByteBuffer bytesInProgress;

  private int startPosition;

  /** I/O thread only. */
  private int writesStarted;

  SocketWriter(
      AsyncConnection connection, ThreadLoop loop, AsynchronousSocketChannel channel, Shard shard) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
    this.ioThread = shard.ioThread();
    this.shardNumber = shard.number();
  }

  WriteQueue queue() {
    return queue;
  }

  /** Schedules a flush for the end of the current turn. Loop thread only. */
  void flushLater() {
    if (!flushScheduled && connection.isConnected()) {
      flushScheduled = true;
      loop.runAtTurnEnd(flushAtTurnEnd);
    }
  }

  private void flushOutsideLoop() {
    flushScheduled = false;
    loop.runAfterTurn(flush);
  }

  /**
   * Flushes at the end of the current turn or batch, or immediately if the caller runs in neither.
   * Any thread.
   */
  void flushSoon() {
    if (loop.inLoop()) {
      flushLater();
      return;
    }
    IoThread thread = IoThread.current();
    if (thread == null) {
      flush();
    } else if (!flushesAfterBatch) {
      flushesAfterBatch = true;
      thread.flushAfterBatch(this);
    }
  }

  /** Called when the batch that led to writes is decoded. I/O thread only. */
  void batchDecoded() {
    flushesAfterBatch = false;
    flush();
  }

  /**
   * Writes queued bytes unless a write is in progress. The I/O thread of the socket's shard tries
   * the write, and completes it once the socket is writable if it is full. A peer that reads
   * nothing costs no work until it does.
   */
  private void flush() {
    ByteBuffer bytes = queue.beginWrite();
    if (bytes == null) {
      return;
    }
    long latestSendMicros = queue.latestSendMicros();
    boolean limited = latestSendMicros != Connection.NO_SEND_LIMIT;
    IoThread thread = IoThread.current();
    if (!limited && thread != null && thread.shard() == shardNumber) {
      writeOrRegister(bytes);
      return;
    }
    Runnable onShutdown = () -> failed(new ShutdownChannelGroupException(), null);
    ioThread.executeNowOrLater(
        limited ? () -> writeInTime(bytes, latestSendMicros) : () -> writeOrRegister(bytes),
        onShutdown);
  }

  /** I/O thread only. */
  private void writeOrRegister(ByteBuffer bytes) {
    if (unpolled) {
      beginWrite(bytes);
      unregisteredBytes = bytes;
      registerAgain();
    } else {
      write(bytes);
    }
  }

  private void beginWrite(ByteBuffer bytes) {
    writesStarted++;
    bytesInProgress = bytes;
    startPosition = bytes.position();
  }

  private void write(ByteBuffer bytes) {
    beginWrite(bytes);
    try {
      channel.write(bytes, null, this);
    } catch (ShutdownChannelGroupException e) {
      failed(e, null); // the network is being closed
    }
  }

  /**
   * Writes bytes that have a latest time to be sent, or closes the connection. Run by the {@link
   * IoThreadExecutor}, so that the system call follows the check immediately. If it was not made,
   * or the socket is full, the connection is closed too: the JDK would write the bytes later
   * without a check. A pending signal or preemption takes effect in the yield, before the check.
   */
  private void writeInTime(ByteBuffer bytes, long latestSendMicros) {
    writeCompleted = false;
    Thread.yield();
    if (loop.now() < latestSendMicros) {
      write(bytes);
    } else {
      failed(new SendLimitExceededException("the latest time to send the request passed"), null);
    }
    if (!writeCompleted) {
      IOException cause =
          new SendLimitExceededException("the last byte of the request could not be sent at once");
      loop.executeInline(() -> connection.fail(cause));
      ChannelSupport.closeQuietly(channel);
    }
  }

  @Override
  public void completed(Integer count, Void attachment) {
    writeCompleted = true;
    unpolled = false;
    unregisteredBytes = null;
    bytesInProgress = null;
    retry.succeeded();
    // the count is negative if the system call was interrupted
    completeWrite(Math.max(0, count));
  }

  private void completeWrite(int count) {
    WriteQueue.State state = queue.endWrite(count);
    if (state == WriteQueue.State.CLOSED) {
      loop.execute(connection::reportClosed);
      return;
    }
    if (!state.isEmpty()) {
      flush();
    }
    boolean fellToLowWaterMark = state.fellToLowWaterMark();
    if (fellToLowWaterMark || state.isEmpty() && connection.isCloseAwaitingFlush()) {
      loop.executeInline(() -> connection.writeProgressed(fellToLowWaterMark));
    }
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    writeCompleted = true;
    unregisteredBytes = null;
    ByteBuffer bytes = bytesInProgress;
    boolean limited = queue.latestSendMicros() != Connection.NO_SEND_LIMIT;
    OptionalLong delayMicros =
        queue.isClosed() || limited && cause instanceof Error
            ? OptionalLong.empty()
            : retry.delayAfter(cause, loop.now());
    if (delayMicros.isPresent() && cause instanceof Error) {
      unregisteredBytes = bytes; // the write stays in progress
      retryLater(cause, delayMicros.getAsLong(), this::registerAgain);
      return;
    }
    bytesInProgress = null;
    if (delayMicros.isEmpty()) {
      end(cause);
    } else if (queue.failWrite()) {
      loop.execute(connection::reportClosed);
    } else {
      retryLater(cause, delayMicros.getAsLong(), flush);
    }
  }

  private void retryLater(Throwable cause, long delayMicros, Runnable task) {
    loop.executeInline(() -> connection.retryLater(SocketCall.WRITE, cause, delayMicros, task));
  }

  private void end(Throwable cause) {
    if (queue.failWrite()) {
      loop.execute(connection::reportClosed);
    } else {
      loop.executeInline(() -> connection.fail(ChannelSupport.toIoException(cause)));
    }
  }

  /**
   * Starts a write again that could not be registered for readiness. The JDK keeps such a write and
   * performs it when the socket is registered for another reason, so the write must not be tried
   * directly: its bytes could be sent twice. Started on another thread, it is only registered; this
   * thread waits meanwhile, so that the kept write is not performed at the same time. I/O thread
   * only.
   */
  private void registerAgain() {
    ByteBuffer bytes = unregisteredBytes;
    if (bytes == null) {
      return; // the JDK has performed the write meanwhile
    }
    unregisteredBytes = null;
    CountDownLatch registered = new CountDownLatch(1);
    loop.executeOnDedicatedThread(
        () -> {
          try {
            channel.write(bytes, null, this);
          } catch (ShutdownChannelGroupException e) {
            failed(e, null); // the network is being closed
          } finally {
            registered.countDown();
          }
        });
    try {
      registered.await(REGISTRATION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Number of the write that the JDK does not perform any more and whose result was not reported; 0
   * if there is none. I/O thread only.
   */
  int unreportedWrite() {
    boolean unreported = queue.isWriting() && unregisteredBytes == null && !isWritingInChannel();
    return unreported ? writesStarted : 0;
  }

  /**
   * Completes a write whose completion was lost when the I/O thread ended. The next write is
   * registered with the JDK, which then polls the socket for input again as well. I/O thread only.
   */
  void recoverLostCompletion() {
    int count = bytesInProgress.position() - startPosition;
    unpolled = true;
    completeWrite(count);
  }

  /** Whether the JDK does not poll the socket since a completion was lost. Any thread. */
  boolean isUnpolled() {
    return unpolled;
  }

  /** Whether the JDK performs a write: an empty write is refused then and has no effect else. */
  private boolean isWritingInChannel() {
    try {
      channel.write(ByteBuffer.allocate(0), null, ChannelSupport.ignoringHandler());
      return false;
    } catch (WritePendingException | ShutdownChannelGroupException e) {
      return true;
    }
  }
}
