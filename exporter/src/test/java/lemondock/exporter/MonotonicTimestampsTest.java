package lemondock.exporter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Timestamps while the wall clock is set back and forward. */
class MonotonicTimestampsTest {
  @Test
  void timestampsStayMonotonicAfterWallClockIsSetBack() {
    MonotonicTimestamps timestamps = new MonotonicTimestamps(3_600_000);
    long wallMillis = 1_000_000_000;
    long last = timestamps.next(0, wallMillis);
    assertEquals(wallMillis, last);
    long monotonicMicros = 0;
    wallMillis -= 60_000;
    int steps = 0;
    for (; steps < 1_000; steps++) {
      monotonicMicros += 10_000_000;
      wallMillis += 10_000;
      long timestamp = timestamps.next(monotonicMicros, wallMillis);
      assertTrue(timestamp > last, timestamp + " after " + last);
      last = timestamp;
      if (timestamp == wallMillis) {
        break;
      }
    }
    assertTrue(steps >= 11 && steps <= 13, "caught up after " + steps + " steps of 10 s");
    assertEquals(1, timestamps.clockSetBackCount());
    assertEquals(0, timestamps.leadMillis());
    long farAhead = wallMillis + 86_400_000;
    assertEquals(farAhead, timestamps.next(monotonicMicros + 1, farAhead));
    assertEquals(
        wallMillis + 5,
        timestamps.next(monotonicMicros + 2, wallMillis + 5),
        "timestamps jump back when the lead exceeds the limit");
    assertEquals(2, timestamps.clockSetBackCount());
  }
}
