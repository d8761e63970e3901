package lemondock.net.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import lemondock.net.Connection;
import lemondock.net.SendLimitExceededException;

/**
 * The write path of one socket: decides when queued bytes are written. Any thread, unless a method
 * says otherwise.
 */
final class SocketWriter implements CompletionHandler<Integer, Void> {
  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final IoThreadExecutor ioThread;
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

  SocketWriter(
      AsyncConnection connection,
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      IoThreadExecutor ioThread) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
    this.ioThread = ioThread;
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
   * Writes queued bytes unless a write is in progress. On the I/O thread of the socket's shard the
   * write is tried immediately and its completion handler may run within this call; otherwise the
   * shard's thread completes it once the socket is writable. Either way, a peer that reads nothing
   * costs no work until it does.
   */
  private void flush() {
    ByteBuffer bytes = queue.beginWrite();
    if (bytes == null) {
      return;
    }
    long latestSendMicros = queue.latestSendMicros();
    if (latestSendMicros == Connection.NO_SEND_LIMIT) {
      write(bytes);
    } else {
      Runnable onShutdown = () -> failed(new ShutdownChannelGroupException(), null);
      ioThread.executeNowOrLater(() -> writeInTime(bytes, latestSendMicros), onShutdown);
    }
  }

  private void write(ByteBuffer bytes) {
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
    // the count is negative if the system call was interrupted
    WriteQueue.State state = queue.endWrite(Math.max(0, count));
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
    if (queue.failWrite()) {
      loop.execute(connection::reportClosed);
    } else {
      loop.executeInline(() -> connection.fail(ChannelSupport.toIoException(cause)));
    }
  }
}
