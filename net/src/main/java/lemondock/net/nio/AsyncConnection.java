package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.function.Consumer;
import lemondock.net.Connection;
import lemondock.net.Loop;
import lemondock.net.NetworkListener;

/**
 * A connection over one socket. It manages the lifecycle from connect to close on top of its {@link
 * SocketReader} and {@link SocketWriter}. Loop thread only, unless a method says otherwise.
 */
final class AsyncConnection implements Connection {
  private static final long LINGER_MICROS = 500_000;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Shard shard;

  private final Handler handler;
  private final NetworkListener listener;
  private final Consumer<AsyncConnection> onClosed;
  private final SocketReader reader;
  private final SocketWriter writer;
  private final LostThreadRecovery lostThread;

  /** Any thread, guarded by its own lock. */
  private final WriteQueue writeQueue;

  // All fields below: loop thread only, except where stated.
  private InetSocketAddress remoteAddress;
  private boolean connected;
  private boolean inputEnded;

  /** Whether all output is sent and input is read and discarded until the peer closes. */
  private boolean lingering;

  /** Ends the linger time; would keep a closed connection in memory if it were not cancelled. */
  private Loop.Timer lingerTimer = () -> {};

  private IOException closeCause;
  private boolean closeReported;

  /**
   * Whether the JDK lost the completion of a read or write: it then holds the channel's lock for
   * ever. Set on the I/O thread, read on any thread.
   */
  private volatile boolean completionLost;

  /** Whether the close that {@link #closeIfIdleAfterFlush} requests should linger. */
  private boolean idleCloseLingers;

  /**
   * Whether to close once all queued bytes are written. Set on the loop or the I/O thread, read on
   * any thread.
   */
  private volatile boolean closeAfterFlush;

  /**
   * Whether to close if no input arrives until all queued bytes are written. Set on the loop, read
   * on any thread.
   */
  private volatile boolean closeIfIdleAfterFlush;

  /** Set on the loop, read on any thread. */
  private volatile boolean closed;

  /**
   * Creates a connection that is not established yet.
   *
   * @param shard the shard to whose group the channel belongs
   * @param listener is told of calls that are tried again
   * @param earliestOpenMicros the earliest time at which the peer may have sent something
   * @param onClosed run on the loop at the time of the close, before the owner is notified
   */
  AsyncConnection(
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      Shard shard,
      Handler handler,
      NetworkListener listener,
      long earliestOpenMicros,
      Consumer<AsyncConnection> onClosed) {
    this.loop = loop;
    this.channel = channel;
    this.shard = shard;
    this.handler = handler;
    this.listener = listener;
    this.onClosed = onClosed;
    this.reader = new SocketReader(this, loop, channel, handler, shard, earliestOpenMicros);
    this.writer = new SocketWriter(this, loop, channel, shard);
    this.writeQueue = writer.queue();
    this.lostThread = new LostThreadRecovery(this, loop, channel, shard, reader, writer);
  }

  /** Called when the channel is connected; notifies the owner. */
  void channelConnected() {
    if (closed) {
      return;
    }
    connected = true;
    try {
      remoteAddress = (InetSocketAddress) channel.getRemoteAddress();
    } catch (IOException e) {
      fail(e);
      return;
    }
    handler.connected(this);
    if (!closed) {
      writer.flushLater();
    }
  }

  boolean isConnected() {
    return connected;
  }

  @Override
  public InetSocketAddress remoteAddress() {
    return remoteAddress;
  }

  @Override
  public int shard() {
    return shard.number();
  }

  @Override
  public void read() {
    if (reader.isReading() || inputEnded || closed || !connected) {
      return;
    }
    reader.read();
  }

  @Override
  public void readAndReportNoInput(Runnable onNoInput) {
    if (inputEnded || closed || !connected) {
      return;
    }
    reader.readAndReportNoInput(
        () -> {
          if (!closed) {
            onNoInput.run();
          }
        });
  }

  /** Whether input is discarded. Any thread. */
  boolean discardsInput() {
    return closeAfterFlush;
  }

  /** Handles a batch that was read; no read is in progress. */
  void batchReceived(List<Object> batch) {
    closeIfIdleAfterFlush = false;
    if (lingering) {
      read();
    } else if (!closed && !closeAfterFlush) {
      handler.received(batch);
    }
  }

  /** Called when a batch was read and discarded; no read is in progress. */
  void inputDiscarded() {
    if (lingering) {
      read();
    }
  }

  /** Called when the peer will send no more bytes. */
  void inputEnded() {
    inputEnded = true;
    if (lingering) {
      finish(null);
    } else if (!closed) {
      handler.inputEnded();
    }
  }

  @Override
  public void write(ByteBuffer bytes) {
    if (acceptsWrites() && bytes.hasRemaining()) {
      writeQueue.add(bytes);
      writer.flushLater();
    }
  }

  @Override
  public void write(ByteBuffer bytes, long latestSendMicros) {
    if (latestSendMicros == NO_SEND_LIMIT) {
      write(bytes);
    } else if (acceptsWrites() && bytes.hasRemaining()) {
      writeQueue.add(bytes, latestSendMicros);
      writer.flushLater();
    }
  }

  @Override
  public void writeFromAnyThread(ByteBuffer bytes) {
    if (acceptsWrites() && bytes.hasRemaining()) {
      writeQueue.add(bytes);
      writer.flushSoon();
    }
  }

  @Override
  public void writeFromAnyThread(byte[] bytes, int from, int length) {
    if (acceptsWrites() && length != 0) {
      writeQueue.addCopy(bytes, from, length);
      writer.flushSoon();
    }
  }

  /**
   * Whether new bytes are accepted for writing. Any thread; if another thread sees a close late,
   * the effect is the same as for bytes that were already being sent.
   */
  private boolean acceptsWrites() {
    return !closed && !closeAfterFlush;
  }

  /** Whether a close waits until all queued bytes are written. Any thread. */
  boolean isCloseAwaitingFlush() {
    return closeAfterFlush || closeIfIdleAfterFlush;
  }

  /** Called when a write has ended that the owner or a pending close was waiting for. */
  void writeProgressed(boolean fellToLowWaterMark) {
    if (fellToLowWaterMark && !closed) {
      handler.writeQueueDrained();
    }
    if (closeAfterFlush && pendingBytes() == 0) {
      linger();
    } else if (closeIfIdleAfterFlush && pendingBytes() == 0 && !closed) {
      closeUnlessInputArrived();
    }
  }

  /** Any thread. */
  @Override
  public long pendingBytes() {
    return writeQueue.pendingBytes();
  }

  /** Any thread. */
  @Override
  public long flushedBytes() {
    return writeQueue.flushedBytes();
  }

  @Override
  public long offeredBytes() {
    return writeQueue.offeredBytes();
  }

  @Override
  public void close() {
    if (closed) {
      return;
    }
    closeAfterFlush = true;
    if (pendingBytes() == 0) {
      linger();
    }
  }

  @Override
  public void closeIfIdle(boolean linger) {
    if (closed || closeAfterFlush) {
      return;
    }
    closeIfIdleAfterFlush = true;
    idleCloseLingers = linger;
    if (pendingBytes() == 0) {
      closeUnlessInputArrived();
    }
  }

  /**
   * Closes unless input has arrived that the owner has not received. This is decided in the
   * completion handler of an empty write: whichever thread starts the write, the handler runs on
   * the I/O thread that does all reads of this socket. All earlier reads are counted by then, and
   * no read can happen during the decision.
   */
  private void closeUnlessInputArrived() {
    closeIfIdleAfterFlush = false;
    int batchesSeen = reader.batchesSeen();
    boolean linger = idleCloseLingers;
    CompletionHandler<Integer, Void> onIoThread =
        new CompletionHandler<>() {
          @Override
          public void completed(Integer count, Void attachment) {
            closeUnlessUnseenBatches(batchesSeen, linger);
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeInline(() -> fail(ChannelSupport.toIoException(cause)));
          }
        };
    loop.runAfterTurn(
        () -> {
          try {
            channel.write(ByteBuffer.allocate(0), null, onIoThread);
          } catch (RuntimeException e) {
            onIoThread.failed(e, null);
          }
        });
  }

  /** I/O thread only. */
  private void closeUnlessUnseenBatches(int batchesSeen, boolean linger) {
    if (reader.hasUnseenBatches(batchesSeen) || closed) {
      return;
    }
    closeAfterFlush = true; // input is discarded from here on
    shutdownOutput();
    loop.executeInline(
        () -> {
          if (linger) {
            linger();
          } else {
            finish(null);
          }
        });
  }

  /**
   * Shuts down output, then reads and discards what the peer still sends until it closes too or the
   * linger time is over. Closing with unread bytes would send a reset, which can destroy a response
   * that is still in transit.
   */
  private void linger() {
    if (closed || lingering) {
      return;
    }
    if (inputEnded || !connected) {
      finish(null);
      return;
    }
    lingering = true;
    shutdownOutput();
    lingerTimer = loop.schedule(LINGER_MICROS, () -> finish(null));
    if (!reader.isReading()) {
      read();
    }
  }

  /**
   * Tells the peer that no more output follows. If that fails, the close tells it; input is read
   * and discarded before that all the same, because a close over unread input resets the connection
   * and may destroy what is still in transit.
   */
  private void shutdownOutput() {
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      // a broken connection is noticed by the read
    }
  }

  /**
   * Runs a task on the I/O thread after a delay, to try a failed call again, unless the connection
   * is closed by then.
   */
  void retryLater(
      NetworkListener.SocketCall call, Throwable cause, long delayMicros, Runnable retry) {
    if (closed) {
      return;
    }
    listener.callRetried(call, remoteAddress, cause);
    loop.schedule(
        delayMicros,
        () -> {
          if (!closed) {
            loop.runAfterTurn(() -> shard.ioThread().execute(retry, () -> {}));
          }
        });
  }

  /** Called after the I/O thread has ended by an error and was replaced. */
  void ioThreadReplaced() {
    lostThread.ioThreadReplaced();
  }

  @Override
  public void abort() {
    finish(null);
  }

  /** Closes immediately because of a failure, which is reported to the owner. */
  void fail(IOException cause) {
    finish(cause);
  }

  private void finish(IOException cause) {
    if (closed) {
      return;
    }
    closed = true;
    lingerTimer.cancel();
    reader.close();
    boolean completionAwaited = lostThread.closeChannel();
    closeCause = cause;
    boolean writing = writeQueue.close();
    onClosed.accept(this);
    if (!writing || !completionAwaited) {
      loop.execute(this::reportClosed);
    }
  }

  /**
   * Notifies the owner of the close. Called once no write is in progress and the result of the last
   * one is known.
   */
  void reportClosed() {
    if (!closeReported) {
      closeReported = true;
      handler.closed(closeCause);
    }
  }
}
