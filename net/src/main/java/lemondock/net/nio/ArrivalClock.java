package lemondock.net.nio;

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
 * previous marker was posted. A marker passes the queue twice, so that whatever was ready before it
 * was posted, and was waited for, is handled before it is run. Without delays, the second-last
 * marker was posted recently, and {@link #TOLERANCE_MICROS} covers the difference.
 */
final class ArrivalClock implements AutoCloseable {
  /** Start time of an operation that may not have been started yet. */
  static final long NOT_STARTED = Long.MAX_VALUE;

  /** Time between two markers. */
  private static final long MARKER_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Age of the second-last marker when nothing delays the I/O thread. */
  private static final long TOLERANCE_MICROS =
      TimeUnit.NANOSECONDS.toMicros(2 * MARKER_INTERVAL_NANOS);

  private final ThreadLoop loop;

  private final IoThreadExecutor ioThread;

  private final Thread markerThread = new Thread(this::postMarkers, "lemondock-arrival-clock");

  /** Whether a marker was posted and has not been run yet. Any thread. */
  private volatile boolean markerPending;

  /** Any thread. */
  private volatile boolean stopped;

  // All fields below: I/O thread only.
  private long lastPostedMicros;
  private long secondLastPostedMicros;

  /** Starts a clock for an I/O thread. */
  ArrivalClock(ThreadLoop loop, IoThreadExecutor ioThread) {
    this.loop = loop;
    this.ioThread = ioThread;
    this.lastPostedMicros = loop.now();
    this.secondLastPostedMicros = lastPostedMicros;
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
    long postedMicros = loop.now();
    execute(() -> postAgain(postedMicros));
  }

  /**
   * The JDK handles the sockets that the kernel reports together in an order of its own, so some of
   * those that were ready before the marker was posted may still be to come. The second time, all
   * of them have been handled. I/O thread only.
   */
  private void postAgain(long postedMicros) {
    execute(() -> runMarker(postedMicros));
  }

  /** Runs a task on the I/O thread, as an event of its own. Any thread. */
  private void execute(Runnable task) {
    ioThread.execute(task, () -> stopped = true);
  }

  /** I/O thread only. */
  private void runMarker(long postedMicros) {
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
    // an operation that found input at once has completed before a marker posted after it is run
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
