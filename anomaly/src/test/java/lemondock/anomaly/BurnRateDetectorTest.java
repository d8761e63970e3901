package lemondock.anomaly;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Alarms and recovery of the burn rate detector. */
class BurnRateDetectorTest {
  private static final long SECOND = 1_000_000;

  @Test
  void alarmNeedsBothWindowsAndMinimumOfBadRequests() {
    BurnRateDetector detector = new BurnRateDetector(BurnRateDetector.Options.DEFAULT);
    long nowMicros = 0;
    for (int second = 0; second < 12; second++) {
      detector.observe(nowMicros += SECOND, 100, 0);
    }
    // The burn rate is now too high over the short window, not yet over the long one.
    detector.observe(nowMicros += SECOND, 0, 100);
    assertFalse(detector.isDegraded());
    for (int second = 0; second < 3; second++) {
      detector.observe(nowMicros += SECOND, 0, 100);
    }
    assertTrue(detector.isDegraded());
    for (int second = 0; second < 8; second++) {
      detector.observe(nowMicros += SECOND, 100, 0);
    }
    assertFalse(detector.isDegraded());
    BurnRateDetector withFewRequests = new BurnRateDetector(BurnRateDetector.Options.DEFAULT);
    withFewRequests.observe(SECOND, 0, 2);
    assertFalse(withFewRequests.isDegraded());
  }
}
