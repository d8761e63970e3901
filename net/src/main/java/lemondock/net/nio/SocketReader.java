package lemondock.net.nio;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.ArrayList;
import java.util.List;
import lemondock.net.Connection;

/**
 * The read path of one socket: reads a batch at a time, has it decoded on the I/O thread and its
 * events handled on the loop.
 */
final class SocketReader implements CompletionHandler<Integer, Void> {
  private static final int MIN_READ_BYTES = 4 * 1024;
  private static final int MAX_READ_BYTES = 32 * 1024;

  /**
   * What a read gives at the end; the JDK's channels give less where a system call was interrupted.
   */
  private static final int END_OF_STREAM = -1;

  private final AsyncConnection connection;
  private final ThreadLoop loop;
  private final AsynchronousSocketChannel channel;
  private final Connection.Handler handler;
  private final Runnable startRead = this::startRead;
  private final ArrivalClock arrivalClock;
  private final boolean tellsArrival;

  // Loop thread only, each from here on:
  private boolean reading;

  /** Of {@link #batchesRead}, those that the owner has seen. */
  private int batchesSeen;

  // I/O thread only, or the thread that starts the one read in progress, each from here on:
  private ByteBuffer buffer;
  private int readBytes = MIN_READ_BYTES;

  private volatile int readsStarted;

  private volatile long readStartedMicros;

  /** A moment at which all that had arrived was read; only where arrival times are told. */
  private long emptyMicros;

  /** Batches that were read for the loop. I/O thread only. */
  private int batchesRead;

  SocketReader(
      AsyncConnection connection,
      ThreadLoop loop,
      AsynchronousSocketChannel channel,
      Connection.Handler handler,
      ArrivalClock arrivalClock,
      long openedMicros) {
    this.connection = connection;
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
    this.arrivalClock = arrivalClock;
    this.tellsArrival = handler.wantsArrivalTimes();
    this.emptyMicros = openedMicros;
  }

  /** Whether a batch is awaited. Loop thread only. */
  boolean isReading() {
    return reading;
  }

  /** Reads one batch once the turn has ended; only while none is awaited. Loop thread only. */
  void read() {
    reading = true;
    loop.outside(startRead);
  }

  /** Batches that the owner has seen. Loop thread only. */
  int batchesSeen() {
    return batchesSeen;
  }

  /** Whether the owner has not seen all that was read, as it had seen so many. I/O thread only. */
  boolean hasReadBeyond(int seen) {
    return batchesRead != seen;
  }

  private void startRead() {
    if (buffer == null || buffer.capacity() != readBytes) {
      buffer = ByteBuffer.allocate(readBytes);
    }
    buffer.clear();
    readStartedMicros = ArrivalClock.NOT_STARTED;
    int read = ++readsStarted;
    try {
      channel.read(buffer, null, this);
      if (tellsArrival && read == readsStarted) {
        readStartedMicros = loop.now(); // a moment at which the kernel was asked already
      }
    } catch (ShutdownChannelGroupException e) {
      failed(e, null); // the network is being closed
    }
  }

  /** On an I/O thread. */
  @Override
  public void completed(Integer count, Void attachment) {
    if (count < END_OF_STREAM) {
      startRead(); // interrupted: nothing was read, and nothing has ended
    } else if (count == END_OF_STREAM) {
      loop.executeHere(
          () -> {
            reading = false;
            connection.inputEnded();
          });
    } else if (connection.discardsInput()) {
      loop.executeHere(
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
    loop.executeHere(() -> connection.fail(ChannelSupport.toIoException(cause)));
  }

  /** On an I/O thread: the only place where bytes become events. */
  private void decode(int count) {
    if (tellsArrival) {
      tellArrival(count);
    }
    adaptReadSize(count);
    batchesRead++;
    IoThread thread = IoThread.current();
    ArrayList<Object> events =
        thread == null ? new ArrayList<>(IoThread.EVENTS) : thread.batchEvents();
    boolean continueReading;
    try {
      handler.decode(buffer.flip(), events);
      continueReading = events.isEmpty() && handler.continueReading();
    } catch (RuntimeException | Error e) {
      // what escapes would end the shard's thread and leave its sockets unheard
      loop.reportFailure(e);
      loop.executeHere(() -> connection.fail(new IOException("decoder failed: " + e, e)));
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

  private void tellArrival(int count) {
    long earliestMicros = arrivalClock.earliestArrivalMicros(readStartedMicros, emptyMicros);
    boolean readAll = count < buffer.capacity();
    emptyMicros = readAll ? loop.now() : earliestMicros;
    handler.batchArrived(arrivalClock.arrivalMicros(earliestMicros));
  }

  /**
   * A peer that sends much is read in larger pieces while it does; one that is waited for holds
   * little memory.
   */
  private void adaptReadSize(int count) {
    readBytes = count == readBytes ? Math.min(MAX_READ_BYTES, 2 * readBytes) : MIN_READ_BYTES;
  }

  private void deliver(List<Object> batch) {
    loop.executeHere(
        () -> {
          reading = false;
          batchesSeen++;
          connection.batchReceived(batch);
        });
  }
}
