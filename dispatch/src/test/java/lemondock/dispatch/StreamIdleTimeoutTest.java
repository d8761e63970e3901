package lemondock.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemondock.net.time.ManualLoop;
import lemondock.overload.StallMonitor;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The idle timeout of an output stream, on a clock that the test controls. */
class StreamIdleTimeoutTest {
  private static final long SECOND = 1_000_000;

  private final ManualLoop loop = new ManualLoop(SECOND);
  private final StallMonitor stallMonitor =
      new StallMonitor(SECOND / 10, 3 * SECOND / 10, SECOND / 20);
  private int timeouts;
  private final StreamIdleTimeout idleTimeout =
      new StreamIdleTimeout(loop, stallMonitor, 4 * SECOND, () -> timeouts++);

  @BeforeEach
  void startTimeout() {
    tick();
    idleTimeout.dataReceived();
    idleTimeout.start();
  }

  private void tick() {
    loop.schedule(stallMonitor.onTick(loop.now()) - loop.now(), this::tick);
  }

  @Test
  void dataPostponesTheTimeoutAndItFiresOnce() {
    loop.advance(3 * SECOND);
    idleTimeout.dataReceived();
    loop.advance(3 * SECOND);
    assertEquals(0, timeouts);
    loop.advance(10 * SECOND);
    assertEquals(1, timeouts);
  }

  @Test
  void doesNotFireWhilePausedNorAfterStop() {
    idleTimeout.pause();
    loop.advance(20 * SECOND);
    idleTimeout.resume();
    loop.advance(3 * SECOND);
    assertEquals(0, timeouts);
    idleTimeout.stop();
    loop.advance(20 * SECOND);
    assertEquals(0, timeouts);
  }

  @Test
  void longestGapCountsNoPausedTime() {
    assertEquals(0, idleTimeout.longestGapMicros());
    loop.advance(SECOND);
    idleTimeout.dataReceived();
    loop.advance(SECOND / 2);
    idleTimeout.dataReceived();
    assertEquals(SECOND, idleTimeout.longestGapMicros());
    idleTimeout.pause();
    loop.advance(3 * SECOND);
    idleTimeout.resume();
    loop.advance(SECOND / 2);
    idleTimeout.dataReceived();
    assertEquals(SECOND, idleTimeout.longestGapMicros());
    assertEquals(0, idleTimeout.silentMicros());
  }

  @Test
  void readsArrivedDataBeforeTheTimeoutAfterAStall() {
    loop.pauseFor(10 * SECOND);
    assertEquals(0, timeouts);
    idleTimeout.dataReceived();
    loop.advance(3 * SECOND);
    assertEquals(0, timeouts);
    loop.advance(2 * SECOND);
    assertEquals(1, timeouts);
  }
}
