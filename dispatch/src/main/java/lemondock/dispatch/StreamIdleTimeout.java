package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/**
 * The idle timeout of an output stream that has begun. Time for which the stream is paused does not
 * count, nor time for which this process was stalled: the data that arrived in the meantime is read
 * first. Loop thread only, except for {@link #dataReceived}.
 */
public final class StreamIdleTimeout {
  private static final long MIN_TIMER_MICROS = 1_000;
  private static final long NO_DATA = Long.MIN_VALUE;

  private final Loop loop;
  private final StallMonitor stallMonitor;
  private final long timeoutMicros;
  private final Runnable onTimeout;
  private Loop.Timer timer = () -> {};
  private boolean paused;

  /** Written by every thread that receives data. */
  private volatile long lastDataAtMicros = NO_DATA;

  /**
   * Written by the same threads. If two of them overwrite each other, the gap is too short until
   * the next one of that length.
   */
  private volatile long longestGapMicros;

  /**
   * Creates a timeout that runs {@code onTimeout} once, after {@code timeoutMicros} without data.
   */
  public StreamIdleTimeout(
      Loop loop, StallMonitor stallMonitor, long timeoutMicros, Runnable onTimeout) {
    this.loop = loop;
    this.stallMonitor = stallMonitor;
    this.timeoutMicros = timeoutMicros;
    this.onTimeout = onTimeout;
  }

  /** Restarts the idle time because data was received; any thread. */
  public void dataReceived() {
    long now = loop.now();
    long previous = lastDataAtMicros;
    if (previous != NO_DATA && now - previous > longestGapMicros) {
      longestGapMicros = now - previous;
    }
    lastDataAtMicros = now;
  }

  /** Suspends the timeout, because the stream is not read until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** Restarts the idle time, because the stream is read again. */
  public void resume() {
    paused = false;
    lastDataAtMicros = loop.now();
  }

  /** Starts the timeout; the owner calls it once, after the first {@link #dataReceived}. */
  public void start() {
    timer =
        loop.schedule(
            Math.max(MIN_TIMER_MICROS, lastDataAtMicros + timeoutMicros - loop.now()), this::check);
  }

  /**
   * Time since the last data in microseconds; 0 while the stream is paused, or while data that
   * arrived during a stall of this process may not have been read.
   */
  public long silentMicros() {
    return paused || remainingStallGraceMicros() > 0 ? 0 : loop.now() - lastDataAtMicros;
  }

  /**
   * Longest time between two receptions of data so far, in microseconds. Times for which the stream
   * was paused do not count; a stall of this process does.
   */
  public long longestGapMicros() {
    return longestGapMicros;
  }

  private long remainingStallGraceMicros() {
    stallMonitor.detectStall(loop.now());
    return stallMonitor.remainingGraceMicros(loop.now());
  }

  private void check() {
    long graceMicros = remainingStallGraceMicros();
    if (graceMicros > 0) {
      lastDataAtMicros = Math.max(lastDataAtMicros, loop.now() - timeoutMicros + graceMicros);
    }
    if (paused) {
      lastDataAtMicros = loop.now();
    }
    if (loop.now() - lastDataAtMicros >= timeoutMicros) {
      onTimeout.run();
    } else {
      start();
    }
  }

  /**
   * Stops the timeout. A timer that is not cancelled would keep its stream in memory until it
   * expires.
   */
  public void stop() {
    timer.cancel();
  }
}
