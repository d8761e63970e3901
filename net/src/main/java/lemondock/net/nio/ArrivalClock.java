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
 * Computes a lower bound of the time at which the kernel received the bytes that an I/O thread is
 * now reading. A process that is busy, not yet warmed up, suspended or without a processor reads
 * them late and cannot tell how late.
 *
 * <p>A dedicated thread posts a marker to the I/O thread's queue at regular intervals, the next one
 * only after the previous one was run. The I/O thread asks the kernel for ready sockets only after
 * it has handled everything reported before. So whatever was ready before one marker was posted is
 * handled before the next marker is run: bytes handled after one marker was run arrived after the
 * previous marker was posted. Without delays, the second-last marker was posted recently, and
 * {@link #TOLERANCE_MICROS} covers the difference.
 */
final class ArrivalClock implements CompletionHandler<Void, Long>, AutoCloseable {
  /** Start time of an operation that may not have been started yet. */
  static final long NOT_STARTED = Long.MAX_VALUE;

  /** Time between two markers. */
  private static final long MARKER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Age of the second-last marker when nothing delays the I/O thread. */
  private static final long TOLERANCE_MICROS =
      TimeUnit.NANOSECONDS.toMicros(2 * MARKER_INTERVAL_NANOS);

  /** Address for the connect call that always fails; never connected to. */
  private static final InetSocketAddress UNUSED_ADDRESS =
      InetSocketAddress.createUnresolved("nowhere", 0);

  private final ThreadLoop loop;

  /**
   * A closed channel in the I/O thread's group. Every operation on it fails on that thread, in
   * order with everything else that the thread handles, and it needs no file descriptor.
   */
  private final AsynchronousSocketChannel closedChannel;

  private final Thread markerThread = new Thread(this::postMarkers, "lemondock-arrival-clock");

  /** Whether a marker was posted and has not been run yet. Any thread. */
  private volatile boolean markerPending;

  /** Any thread. */
  private volatile boolean stopped;

  // All fields below: I/O thread only.
  private long lastPostedMicros;
  private long secondLastPostedMicros;

  /** Starts a clock for the single thread of a channel group. */
  ArrivalClock(ThreadLoop loop, AsynchronousChannelGroup group) throws IOException {
    this.loop = loop;
    this.lastPostedMicros = loop.now();
    this.secondLastPostedMicros = lastPostedMicros;
    this.closedChannel = AsynchronousSocketChannel.open(group);
    closedChannel.close();
    markerThread.setDaemon(true);
    markerThread.start();
  }

  private void postMarkers() {
    while (!stopped) {
      LockSupport.parkNanos(MARKER_INTERVAL_NANOS);
      if (!markerPending && !stopped) {
        postMarker();
      }
    }
  }

  private void postMarker() {
    markerPending = true;
    try {
      closedChannel.connect(UNUSED_ADDRESS, loop.now(), this);
    } catch (ShutdownChannelGroupException e) {
      stopped = true;
    }
  }

  @Override
  public void completed(Void result, Long postedMicros) {
    failed(new IllegalStateException("connect on a closed channel succeeded"), postedMicros);
  }

  /** Runs a marker, on the I/O thread. */
  @Override
  public void failed(Throwable closed, Long postedMicros) {
    secondLastPostedMicros = lastPostedMicros;
    lastPostedMicros = postedMicros;
    markerPending = false;
  }

  /**
   * The earliest time at which the result of a socket operation that has just completed may have
   * arrived. I/O thread only.
   *
   * @param startedMicros a time at which the operation had already been started, or {@link
   *     #NOT_STARTED}
   * @param queueEmptyMicros a time at which nothing had arrived yet; used for an operation that may
   *     have completed without waiting
   */
  long earliestArrivalMicros(long startedMicros, long queueEmptyMicros) {
    if (startedMicros <= secondLastPostedMicros) {
      return secondLastPostedMicros;
    }
    // an operation that found input at once would have completed before a marker posted after it
    return startedMicros < lastPostedMicros ? startedMicros : queueEmptyMicros;
  }

  /**
   * Estimates the arrival time from the earliest possible one: later by the tolerance, but not in
   * the future. Any thread.
   */
  long arrivalMicros(long earliestMicros) {
    return Math.min(loop.now(), earliestMicros + TOLERANCE_MICROS);
  }

  @Override
  public void close() {
    stopped = true;
    LockSupport.unpark(markerThread);
  }
}
