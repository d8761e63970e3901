package lemondock.net.nio;

import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;

/**
 * The write path of one socket: decides when queued bytes go out. Any thread, unless a method says
 * otherwise.
 */
final class SocketWriter implements CompletionHandler<Integer, Void> {
  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Runnable flushAtTurnEnd = this::flushOutsideLoop;
  private final Runnable flush = this::flush;

  /** Any thread, guarded by its own lock. */
  private final WriteQueue queue = new WriteQueue();

  /** Loop thread only. */
  private boolean flushScheduled;

  /** Any thread: set by the one that writes, cleared by the I/O thread that flushes. */
  private volatile boolean flushesAfterBatch;

  SocketWriter(AsyncConnection connection, ThreadLoop loop, AsynchronousSocketChannel channel) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
  }

  WriteQueue queue() {
    return queue;
  }

  /** Has what is queued go out with the rest of the turn. Loop thread only. */
  void flushLater() {
    if (!flushScheduled && connection.isConnected()) {
      flushScheduled = true;
      loop.atTurnEnd(flushAtTurnEnd);
    }
  }

  private void flushOutsideLoop() {
    flushScheduled = false;
    loop.outside(flush);
  }

  /** With the rest of the turn or of the batch at hand, or at once where there is neither. */
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

  /** The batch is decoded that led to writes. I/O thread only. */
  void batchDecoded() {
    flushesAfterBatch = false;
    flush();
  }

  /**
   * Writes what is queued unless a write is in progress. On a thread of the socket's shard the
   * write is tried at once and its handler called here; elsewhere the shard's thread does it when
   * the socket can take it. Either way nothing is done for a peer that takes nothing until it does.
   */
  private void flush() {
    ByteBuffer bytes = queue.beginWrite();
    if (bytes != null) {
      try {
        channel.write(bytes, null, this);
      } catch (ShutdownChannelGroupException e) {
        failed(e, null); // the network is being closed
      }
    }
  }

  @Override
  public void completed(Integer count, Void attachment) {
    // less than nothing was written where the system call was interrupted
    WriteQueue.State state = queue.endWrite(Math.max(0, count));
    if (state == WriteQueue.State.CLOSED) {
      loop.execute(connection::reportClosed);
      return;
    }
    if (!state.isEmpty()) {
      flush();
    }
    boolean fellToLowMark = state.fellToLowMark();
    if (fellToLowMark || state.isEmpty() && connection.closesOnceFlushed()) {
      loop.executeHere(() -> connection.writeProgressed(fellToLowMark));
    }
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    if (queue.failWrite()) {
      loop.execute(connection::reportClosed);
    } else {
      loop.executeHere(() -> connection.fail(ChannelSupport.toIoException(cause)));
    }
  }
}
