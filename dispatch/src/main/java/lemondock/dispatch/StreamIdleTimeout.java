package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/**
 * The idle timeout of an output stream that has begun. Time while the stream is paused does not
 * count, nor time for which this process stalled: data that arrived meanwhile is read first. Loop
 * thread only, but for {@link #dataReceived}.
 */
public final class StreamIdleTimeout {
  private static final long SHORTEST_TIMER_MICROS = 1_000;

  private final Loop loop;
  private final StallMonitor stallMonitor;
  private final long timeoutMicros;
  private final Runnable onTimeout;
  private Loop.Timer timer = () -> {};
  private boolean paused;

  /** Written by any thread that receives data. */
  private volatile long lastDataAtMicros;

  /** Runs {@code onTimeout} once the stream was idle for {@code timeoutMicros}. */
  public StreamIdleTimeout(
      Loop loop, StallMonitor stallMonitor, long timeoutMicros, Runnable onTimeout) {
    this.loop = loop;
    this.stallMonitor = stallMonitor;
    this.timeoutMicros = timeoutMicros;
    this.onTimeout = onTimeout;
  }

  /** Data was received; any thread. */
  public void dataReceived() {
    lastDataAtMicros = loop.now();
  }

  /** The stream is not read until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** The stream is read again. */
  public void resume() {
    paused = false;
    dataReceived();
  }

  /** Starts the timeout; called once, after the first {@link #dataReceived}. */
  public void start() {
    timer =
        loop.schedule(
            Math.max(SHORTEST_TIMER_MICROS, lastDataAtMicros + timeoutMicros - loop.now()),
            this::check);
  }

  private void check() {
    stallMonitor.detectStall(loop.now());
    long graceMicros = stallMonitor.remainingGraceMicros(loop.now());
    if (graceMicros > 0) {
      lastDataAtMicros = Math.max(lastDataAtMicros, loop.now() - timeoutMicros + graceMicros);
    }
    if (paused) {
      dataReceived();
    }
    if (loop.now() - lastDataAtMicros >= timeoutMicros) {
      onTimeout.run();
    } else {
      start();
    }
  }

  /**
   * Stops the timeout: a timer that is left to expire would keep its stream in memory until then.
   */
  public void stop() {
    timer.cancel();
  }
}
