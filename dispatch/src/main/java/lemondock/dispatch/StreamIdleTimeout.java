package lemondock.dispatch;

import lemondock.net.Loop;
import lemondock.overload.StallMonitor;

/**
 * Watches a stream that has begun: one that says nothing for too long is broken. Not while nobody
 * takes it, and not for time in which this process stood still: what came in meanwhile is heard
 * first. Loop thread only, but for {@link #heard}.
 */
public final class StreamIdleTimeout {
  private static final long LEAST = 1_000;

  private final Loop loop;
  private final StallMonitor lateness;
  private final long most;
  private final Runnable broken;
  private Loop.Timer timer = () -> {};
  private boolean paused;
  private volatile long heardAt;

  /** Runs {@code broken} once a stream was silent for {@code most} microseconds. */
  public StreamIdleTimeout(Loop loop, StallMonitor lateness, long most, Runnable broken) {
    this.loop = loop;
    this.lateness = lateness;
    this.most = most;
    this.broken = broken;
  }

  /** Something came; any thread. */
  public void heard() {
    heardAt = loop.now();
  }

  /** Nobody takes the stream until {@link #resume}. */
  public void pause() {
    paused = true;
  }

  /** It is taken again. */
  public void resume() {
    paused = false;
    heard();
  }

  /** Begins to watch; once, after the first word was {@link #heard}. */
  public void watch() {
    timer =
        loop.schedule(
            Math.max(LEAST, heardAt + most - loop.now()),
            () -> {
              lateness.detectStall(loop.now());
              long putOff = lateness.remainingGraceMicros(loop.now());
              if (putOff > 0) {
                heardAt = Math.max(heardAt, loop.now() - most + putOff);
              }
              if (paused) {
                heard();
              }
              if (loop.now() - heardAt >= most) {
                broken.run();
              } else {
                watch();
              }
            });
  }

  /** Ends the watch: a timer that is left to run out would hold all that it knows until then. */
  public void end() {
    timer.cancel();
  }
}
