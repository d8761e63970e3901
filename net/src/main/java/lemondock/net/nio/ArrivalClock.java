package lemondock.net.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.nio.channels.ShutdownChannelGroupException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Bounds from below when the bytes that an I/O thread reads now arrived in the kernel. A busy, cold
 * or frozen process, or one without a processor, comes to them late, and cannot see how late.
 *
 * <p>A thread of its own posts a mark to the I/O thread's queue at regular intervals, the next one
 * after the last was run. The I/O thread asks the kernel for ready sockets only after it has
 * handled all that it was told of before. So what was ready before one mark was posted is handled
 * before the next mark is run: anything handled later arrived after the posting of the last mark
 * but one. While all goes well that was not long ago, and {@link #TOLERANCE_MICROS} hides it.
 */
final class ArrivalClock implements CompletionHandler<Void, Long>, AutoCloseable {
  /** Stands for the start of an operation that may not have been begun yet. */
  static final long NOT_STARTED = Long.MAX_VALUE;

  /** Time between two marks. */
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Age of the last mark but one where nothing delays the I/O thread. */
  private static final long TOLERANCE_MICROS = TimeUnit.NANOSECONDS.toMicros(2 * INTERVAL_NANOS);

  /** Never connected to. */
  private static final InetSocketAddress NOWHERE = InetSocketAddress.createUnresolved("nowhere", 0);

  private final ThreadLoop loop;

  /**
   * A closed channel of the I/O thread's group: whatever it is asked for fails on that thread, in
   * the order of all that the thread handles, and needs no descriptor.
   */
  private final AsynchronousSocketChannel closedChannel;

  private final Thread poster = new Thread(this::postMarks, "lemondock-arrival-clock");

  /** A mark was posted and not run yet. Any thread. */
  private volatile boolean posted;

  /** Any thread. */
  private volatile boolean stopped;

  // I/O thread only, each from here on:
  private long lastPostedMicros;
  private long lastButOnePostedMicros;

  /** Starts a clock for the one thread of a group. */
  ArrivalClock(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    this.lastPostedMicros = loop.now();
    this.lastButOnePostedMicros = lastPostedMicros;
    this.closedChannel = AsynchronousSocketChannel.open(group);
    closedChannel.close();
    poster.setDaemon(true);
    poster.start();
  }

  private void postMarks() {
    while (!stopped) {
      LockSupport.parkNanos(INTERVAL_NANOS);
      if (!posted && !stopped) {
        post();
      }
    }
  }

  private void post() {
    posted = true;
    try {
      closedChannel.connect(NOWHERE, loop.now(), this);
    } catch (ShutdownChannelGroupException e) {
      stopped = true;
    }
  }

  @Override
  public void completed(Void nothing, Long postedMicros) {
    failed(new IllegalStateException("a closed channel was connected"), postedMicros);
  }

  /** A mark is run, on the I/O thread. */
  @Override
  public void failed(Throwable closed, Long postedMicros) {
    lastButOnePostedMicros = lastPostedMicros;
    lastPostedMicros = postedMicros;
    posted = false;
  }

  /**
   * The earliest moment at which what an operation of a socket has just brought may have arrived.
   * I/O thread only.
   *
   * @param startedMicros a moment at which the operation had been begun, or {@link #NOT_STARTED}
   * @param emptyMicros when nothing had arrived yet, for an operation that may not have had to wait
   */
  long earliestArrivalMicros(long startedMicros, long emptyMicros) {
    if (startedMicros <= lastButOnePostedMicros) {
      return lastButOnePostedMicros;
    }
    // an operation that found something would have ended before a mark that was posted after it
    return startedMicros < lastPostedMicros ? startedMicros : emptyMicros;
  }

  /** When to take something for arrived that may have arrived so early. Any thread. */
  long arrivalMicros(long earliestMicros) {
    return Math.min(loop.now(), earliestMicros + TOLERANCE_MICROS);
  }

  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(poster);
  }
}
