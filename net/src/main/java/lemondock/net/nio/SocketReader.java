package lemondock.net.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ReadPendingException;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import lemondock.net.ByteBudget;
import lemondock.net.Connection;
import lemondock.net.NetworkListener.SocketCall;

/**
 * The read path of one socket: reads one batch at a time, decodes it on the I/O thread and delivers
 * its events on the loop. A read that fails without ending the connection is tried again ({@link
 * TransferRetry}).
 */
final class SocketReader implements CompletionHandler<Integer, Void> {
  private static final int MIN_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 32 * 1024;
  private static final int READ_GROWTH_FACTOR = 4;

  /**
   * Result of a read at the end of the stream; the JDK's channels return a smaller value if a
   * system call was interrupted.
   */
  private static final int END_OF_STREAM = -1;

  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Connection.Handler handler;
  private final Runnable startRead = this::startRead;
  private final Runnable retryRead = this::retryRead;
  private final ArrivalClock arrivalClock;
  private final IoThreadExecutor ioThread;
  private final ByteBudget bufferBudget;
  private final boolean reportsArrivalTimes;

  /** Whether a read is in progress. Loop thread only. */
  private boolean reading;

  /** How many of the {@link #batchesRead} the owner has received. Loop thread only. */
  private int batchesSeen;

  // All fields below: I/O thread or the thread that starts the next read, except where stated. Only
  // one read is in progress at a time, so fields that are not volatile need no lock.
  private ByteBuffer buffer;
  private int readBytes = MIN_READ_BYTES;

  /** Bytes reserved in the budget for the buffer beyond its minimum size. Guarded by this. */
  private int reservedBytes;

  /** Guarded by this. */
  private boolean closed;

  private volatile int readsStarted;

  private volatile long readStartedMicros;

  /**
   * A time at which all input that had arrived was read; only kept if arrival times are reported.
   */
  private long inputEmptyMicros;

  /** Number of batches read and delivered to the loop. I/O thread only. */
  private int batchesRead;

  /** Whether the read that was started last has completed. I/O thread only. */
  private boolean readCompleted;

  /** I/O thread only. */
  private final TransferRetry retry = new TransferRetry();

  /** Whether a read has failed and is to be tried again. I/O thread only. */
  private boolean retryPending;

  /** Number of the last read whose result is known. I/O thread only. */
  private int lastReadEnded;

  /**
   * The task to run if the read in progress finds the socket empty when it starts; null if there is
   * none. I/O thread only.
   */
  private Runnable noInputTask;

  SocketReader(
      AsyncConnection connection,
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      Connection.Handler handler,
      Shard shard,
      long earliestOpenMicros) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
    this.arrivalClock = shard.arrivalClock();
    this.ioThread = shard.ioThread();
    this.bufferBudget = shard.readBufferBudget();
    this.reportsArrivalTimes = handler.wantsArrivalTimes();
    this.inputEmptyMicros = earliestOpenMicros;
  }

  /** Whether a read is in progress. Loop thread only. */
  boolean isReading() {
    return reading;
  }

  /** Reads one batch after the current turn. No read may be in progress. Loop thread only. */
  void read() {
    reading = true;
    loop.runAfterTurn(startRead);
  }

  /**
   * Reads one batch; runs the task on the loop if the socket is empty when the read starts. No read
   * may be in progress. Loop thread only.
   */
  void readAndReportNoInput(Runnable onNoInput) {
    reading = true;
    Runnable onShutdown = () -> failed(new ShutdownChannelGroupException(), null);
    loop.runAfterTurn(
        () -> ioThread.execute(() -> startReadAndReportNoInput(onNoInput), onShutdown));
  }

  /**
   * Run by the {@link IoThreadExecutor}, so that the read is tried within the call that starts it.
   */
  private void startReadAndReportNoInput(Runnable onNoInput) {
    noInputTask = onNoInput;
    readCompleted = false;
    startRead();
    if (!readCompleted) {
      noInputTask = null;
      loop.executeInline(onNoInput);
    }
  }

  /** Number of batches that the owner has received. Loop thread only. */
  int batchesSeen() {
    return batchesSeen;
  }

  /**
   * Whether batches were read that the owner has not received. I/O thread only.
   *
   * @param seen number of batches that the owner has received
   */
  boolean hasUnseenBatches(int seen) {
    return batchesRead != seen;
  }

  private void startRead() {
    readStartedMicros = ArrivalClock.NOT_STARTED;
    int readNumber = ++readsStarted;
    try {
      prepareBuffer();
      channel.read(buffer, null, this);
      if (reportsArrivalTimes && readNumber == readsStarted) {
        readStartedMicros = loop.now(); // by now the read has been started in the kernel
      }
    } catch (ShutdownChannelGroupException e) {
      failed(e, null); // the network is being closed
    } catch (OutOfMemoryError e) {
      failed(e, null); // tried again
    } catch (ReadPendingException e) {
      // the JDK kept a read whose registration had failed: its completion is still to come
    }
  }

  private void prepareBuffer() {
    if (buffer == null || buffer.capacity() != readBytes) {
      readBytes = reserve(readBytes);
      buffer = null; // so that both buffers are not needed at a time
      buffer = ByteBuffer.allocate(readBytes);
    }
    buffer.clear();
  }

  /** Reserves memory for a buffer in place of the present one; returns the size it may have. */
  private synchronized int reserve(int wantedBytes) {
    bufferBudget.release(reservedBytes);
    reservedBytes = wantedBytes - MIN_READ_BYTES;
    if (closed || !bufferBudget.tryReserve(reservedBytes)) {
      reservedBytes = 0;
    }
    return MIN_READ_BYTES + reservedBytes;
  }

  /** Releases what the buffer has reserved, because the connection is closed. Loop thread only. */
  synchronized void close() {
    closed = true;
    bufferBudget.release(reservedBytes);
    reservedBytes = 0;
  }

  /** Handles the result of a read. Runs on an I/O thread. */
  @Override
  public void completed(Integer count, Void attachment) {
    retryPending = false;
    lastReadEnded = readsStarted;
    if (count < END_OF_STREAM) {
      startRead(); // interrupted: nothing was read and the stream has not ended
      return;
    }
    retry.succeeded();
    readCompleted = true;
    noInputTask = null;
    if (count == END_OF_STREAM) {
      loop.executeInline(
          () -> {
            reading = false;
            connection.inputEnded();
          });
    } else if (connection.discardsInput()) {
      loop.executeInline(
          () -> {
            reading = false;
            connection.inputDiscarded();
          });
    } else {
      decode(count);
    }
  }

  @Override
  public void failed(Throwable cause, Void attachment) {
    readCompleted = true;
    lastReadEnded = readsStarted;
    OptionalLong delayMicros = retry.delayAfter(cause, loop.now());
    if (delayMicros.isEmpty()) {
      loop.executeInline(() -> connection.fail(ChannelSupport.toIoException(cause)));
      return;
    }
    retryPending = true;
    loop.executeInline(
        () -> connection.retryLater(SocketCall.READ, cause, delayMicros.getAsLong(), retryRead));
  }

  /**
   * Number of the read that the JDK does not perform any more and whose result was not reported; 0
   * if there is none. I/O thread only.
   */
  int unreportedRead() {
    int readNumber = readsStarted;
    return lastReadEnded != readNumber && !isReadingInChannel() ? readNumber : 0;
  }

  /** Whether the JDK performs a read: an empty read is refused then and has no effect else. */
  private boolean isReadingInChannel() {
    try {
      channel.read(ByteBuffer.allocate(0), null, ChannelSupport.ignoringHandler());
      return false;
    } catch (ReadPendingException | ShutdownChannelGroupException e) {
      return true;
    }
  }

  /** Tries a failed read again, unless it has completed meanwhile. I/O thread only. */
  private void retryRead() {
    if (!retryPending) {
      return;
    }
    retryPending = false;
    if (noInputTask != null) {
      startReadAndReportNoInput(noInputTask);
    } else {
      startRead();
    }
  }

  /** Decodes a batch into events, on an I/O thread; the only place where this happens. */
  private void decode(int count) {
    if (reportsArrivalTimes) {
      reportArrival(count);
    }
    adaptReadSize(count);
    batchesRead++;
    IoThread thread = IoThread.current();
    ArrayList<Object> events =
        thread == null ? new ArrayList<>(IoThread.INITIAL_EVENT_CAPACITY) : thread.batchEvents();
    boolean continueReading;
    try {
      handler.decode(buffer.flip(), events);
      continueReading = events.isEmpty() && handler.continueReading();
    } catch (RuntimeException | Error e) {
      // an uncaught exception would end the shard's thread, and nothing would serve its sockets
      loop.reportFailure(e);
      loop.executeInline(
          () ->
              connection.fail(
                  new IOException("decoding a batch of " + count + " bytes failed: " + e, e)));
      return;
    } finally {
      if (thread != null) {
        thread.batchDecoded();
      }
    }
    if (continueReading) {
      batchesRead--;
      startRead();
    } else {
      deliver(events.isEmpty() ? List.of() : events);
    }
  }

  private void reportArrival(int count) {
    long earliestMicros = arrivalClock.earliestArrivalMicros(readStartedMicros, inputEmptyMicros);
    boolean readAll = count < buffer.capacity();
    inputEmptyMicros = readAll ? loop.now() : earliestMicros;
    handler.batchArrived(arrivalClock.arrivalMicros(earliestMicros));
  }

  /**
   * Enlarges the read size while a peer fills the buffer and the budget has room, and resets it
   * otherwise, so that a waiting connection holds little memory.
   */
  private void adaptReadSize(int count) {
    readBytes =
        count == readBytes
            ? Math.min(MAX_READ_BYTES, READ_GROWTH_FACTOR * readBytes)
            : MIN_READ_BYTES;
  }

  private void deliver(List<Object> batch) {
    loop.executeInline(
        () -> {
          reading = false;
          batchesSeen++;
          connection.batchReceived(batch);
        });
  }
}
