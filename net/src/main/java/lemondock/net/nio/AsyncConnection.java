package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.List;
import java.util.function.Consumer;
import lemondock.net.Connection;

/**
 * One socket's connection: its life from coming up to the close, on top of its {@link SocketReader}
 * and {@link SocketWriter}. Loop thread only, unless a method says otherwise.
 */
final class AsyncConnection implements Connection {
  private static final long LINGER_MICROS = 500_000;

  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final int shard;
  private final Handler handler;
  private final Consumer<AsyncConnection> onClosed;
  private final SocketReader reader;
  private final SocketWriter writer;

  /** Any thread, guarded by its own lock. */
  private final WriteQueue writeQueue;

  // Loop thread only, each from here on:
  private InetSocketAddress remoteAddress;
  private boolean connected;
  private boolean inputEnded;

  /** All is sent; what the peer still sends is taken and dropped until it closes. */
  private boolean lingering;

  private IOException closeCause;

  /** Of the close that {@link #closesIfIdle} asks for. */
  private boolean idleCloseLingers;

  /**
   * A close was asked for that happens once all is written; set on the loop or the I/O thread, read
   * on any thread.
   */
  private volatile boolean closesWhenFlushed;

  /**
   * A close was asked for that happens if nothing comes until all is written; set on the loop, read
   * on any thread.
   */
  private volatile boolean closesIfIdle;

  /** Set on the loop, read on any thread. */
  private volatile boolean closed;

  /**
   * Makes a connection that is not up yet.
   *
   * @param arrivalClock of the thread that reads it
   * @param openedMicros the earliest moment at which its peer may have sent something
   * @param onClosed run on the loop in the moment of the close, before the owner hears of it
   */
  AsyncConnection(
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      int shard,
      Handler handler,
      ArrivalClock arrivalClock,
      long openedMicros,
      Consumer<AsyncConnection> onClosed) {
    this.loop = loop;
    this.channel = channel;
    this.shard = shard;
    this.handler = handler;
    this.onClosed = onClosed;
    this.reader = new SocketReader(this, loop, channel, handler, arrivalClock, openedMicros);
    this.writer = new SocketWriter(this, loop, channel);
    this.writeQueue = writer.queue();
  }

  /** The channel is connected: tells the owner. */
  void up() {
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
    return shard;
  }

  @Override
  public void read() {
    if (reader.isReading() || inputEnded || closed || !connected) {
      return;
    }
    reader.read();
  }

  /** Whether what is read is dropped. Any thread. */
  boolean discardsInput() {
    return closesWhenFlushed;
  }

  /** A batch was read; the reader awaits none. */
  void batchReceived(List<Object> batch) {
    closesIfIdle = false;
    if (lingering) {
      read();
    } else if (!closed && !closesWhenFlushed) {
      handler.received(batch);
    }
  }

  /** A batch was read and dropped; the reader awaits none. */
  void inputDiscarded() {
    if (lingering) {
      read();
    }
  }

  /** The peer will send no more. */
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
    if (takesWrites() && bytes.hasRemaining()) {
      writeQueue.add(bytes);
      writer.flushLater();
    }
  }

  @Override
  public void writeFromAnyThread(ByteBuffer bytes) {
    if (takesWrites() && bytes.hasRemaining()) {
      writeQueue.add(bytes);
      writer.flushSoon();
    }
  }

  @Override
  public void writeFromAnyThread(byte[] bytes, int from, int length) {
    if (takesWrites() && length != 0) {
      writeQueue.addCopy(bytes, from, length);
      writer.flushSoon();
    }
  }

  /** Any thread; a close seen late on another thread is as if the bytes had been on their way. */
  private boolean takesWrites() {
    return !closed && !closesWhenFlushed;
  }

  /** Whether a close waits for all to be written. Any thread. */
  boolean closesOnceFlushed() {
    return closesWhenFlushed || closesIfIdle;
  }

  /** A write has ended that the owner or a close has waited for. */
  void writeProgressed(boolean fellToLowMark) {
    if (fellToLowMark && !closed) {
      handler.writeQueueDrained();
    }
    if (closesWhenFlushed && pendingBytes() == 0) {
      linger();
    } else if (closesIfIdle && pendingBytes() == 0 && !closed) {
      closeUnlessReading();
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
    closesWhenFlushed = true;
    if (pendingBytes() == 0) {
      linger();
    }
  }

  @Override
  public void closeIfIdle(boolean linger) {
    if (closed || closesWhenFlushed) {
      return;
    }
    closesIfIdle = true;
    idleCloseLingers = linger;
    if (pendingBytes() == 0) {
      closeUnlessReading();
    }
  }

  /**
   * An empty write is completed on the thread that does all reads of this socket, whatever thread
   * asks for it: what that thread has read before is counted by then, and it reads nothing while it
   * decides.
   */
  private void closeUnlessReading() {
    closesIfIdle = false;
    int batchesSeen = reader.batchesSeen();
    boolean linger = idleCloseLingers;
    CompletionHandler<Integer, Void> onReadingThread =
        new CompletionHandler<>() {
          @Override
          public void completed(Integer nothing, Void attachment) {
            closeUnlessReadBeyond(batchesSeen, linger);
          }

          @Override
          public void failed(Throwable cause, Void attachment) {
            loop.executeHere(() -> fail(ChannelSupport.toIoException(cause)));
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

  /** I/O thread only. */
  private void closeUnlessReadBeyond(int batchesSeen, boolean linger) {
    if (reader.hasReadBeyond(batchesSeen) || closed) {
      return;
    }
    closesWhenFlushed = true; // what is read from here on is dropped
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      ChannelSupport.closeQuietly(channel); // broken already; the loop finds it so
    }
    loop.executeHere(
        () -> {
          if (linger) {
            linger();
          } else {
            finish(null);
          }
        });
  }

  /**
   * Says that no more comes, then takes and drops what the peer still sends until it closes too or
   * time is up. Closing with bytes unread would send a reset, and that can destroy a response on
   * its way.
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
    try {
      channel.shutdownOutput();
    } catch (IOException e) {
      finish(null);
      return;
    }
    loop.schedule(LINGER_MICROS, () -> finish(null));
    if (!reader.isReading()) {
      read();
    }
  }

  @Override
  public void abort() {
    finish(null);
  }

  /** Closes at once for a failure, which the owner hears of. */
  void fail(IOException cause) {
    finish(cause);
  }

  private void finish(IOException cause) {
    if (closed) {
      return;
    }
    closed = true;
    ChannelSupport.closeQuietly(channel);
    closeCause = cause;
    boolean writing = writeQueue.close();
    onClosed.accept(this);
    if (!writing) {
      loop.execute(this::reportClosed);
    }
  }

  /** No write is in progress any more, and what the last one brought is known. */
  void reportClosed() {
    handler.closed(closeCause);
  }
}
