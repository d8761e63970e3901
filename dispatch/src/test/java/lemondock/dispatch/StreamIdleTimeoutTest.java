package lemondock.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;

import lemondock.net.time.ManualLoop;
import lemondock.overload.StallMonitor;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** When a stream that says nothing is broken, on a clock moved by hand. */
class StreamIdleTimeoutTest {
  private static final long SECOND = 1_000_000;

  private final ManualLoop loop = new ManualLoop(SECOND);
  private final StallMonitor lateness = new StallMonitor(SECOND / 10, 3 * SECOND / 10, SECOND / 20);
  private int broken;
  private final StreamIdleTimeout silence =
      new StreamIdleTimeout(loop, lateness, 4 * SECOND, () -> broken++);

  @BeforeEach
  void begin() {
    tick();
    silence.heard();
    silence.watch();
  }

  private void tick() {
    loop.schedule(lateness.ticked(loop.now()) - loop.now(), this::tick);
  }

  @Test
  void whatIsHeardPutsItOffAndItIsBrokenOnce() {
    loop.advance(3 * SECOND);
    silence.heard();
    loop.advance(3 * SECOND);
    assertEquals(0, broken);
    loop.advance(10 * SECOND);
    assertEquals(1, broken);
  }

  @Test
  void noSilenceWhileNobodyTakesItNorOnceItHasEnded() {
    silence.pause();
    loop.advance(20 * SECOND);
    silence.resume();
    loop.advance(3 * SECOND);
    assertEquals(0, broken);
    silence.end();
    loop.advance(20 * SECOND);
    assertEquals(0, broken);
  }

  @Test
  void afterAStallOfTheProcessWhatCameMeanwhileIsHeardFirst() {
    loop.pauseFor(10 * SECOND);
    assertEquals(0, broken);
    silence.heard();
    loop.advance(3 * SECOND);
    assertEquals(0, broken);
    loop.advance(2 * SECOND);
    assertEquals(1, broken);
  }
}
