package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Detection of stalls, with times set by the test. */
class StallMonitorTest {
  private static final long MILLIS = 1_000;

  @Test
  void countsStallOnceAndPostponesTimeoutsForGracePeriod() {
    StallMonitor monitor = new StallMonitor(100 * MILLIS, 300 * MILLIS, 50 * MILLIS);
    long now = 0;
    for (int i = 0; i < 10; i++) {
      assertEquals(now + 100 * MILLIS, monitor.onTick(now));
      now += 100 * MILLIS + 20 * MILLIS; // small delays of ticks are not stalls
    }
    assertEquals(0, monitor.totalStallMicros());
    assertEquals(
        0, monitor.remainingGraceMicros(now), "timeouts are not postponed without a stall");
    assertEquals(0, monitor.remainingGraceMicros(Long.MAX_VALUE - 1));
    now += 3_000 * MILLIS;
    monitor.detectStall(now); // a timer or a socket event runs before the tick
    monitor.onTick(now + 1 * MILLIS);
    assertEquals(3_020 * MILLIS, monitor.totalStallMicros());
    assertEquals(1, monitor.stallCount());
    assertEquals(50 * MILLIS, monitor.remainingGraceMicros(now));
    assertEquals(0, monitor.remainingGraceMicros(now + 50 * MILLIS));
    monitor.onTick(now + 101 * MILLIS);
    assertEquals(3_020 * MILLIS, monitor.longestStallMicros());
  }
}
