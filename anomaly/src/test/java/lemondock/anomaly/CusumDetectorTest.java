package lemondock.anomaly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Alarms, recovery and the learnt baseline of the CUSUM chart. */
class CusumDetectorTest {
  private static final long SECOND = 1_000_000;

  private static CusumDetector newDetector() {
    return new CusumDetector(CusumDetector.Options.DEFAULT);
  }

  private static int drawBad(SplittableRandom random, int count, double lossRatio) {
    int bad = 0;
    for (int i = 0; i < count; i++) {
      bad += random.nextDouble() < lossRatio ? 1 : 0;
    }
    return bad;
  }

  @Test
  void alarmsWithinSecondsAtSmallCountsButNotByChance() {
    int lateAlarms = 0;
    for (int seed = 0; seed < 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      CusumDetector detector = newDetector();
      long nowMicros = 0;
      for (int second = 0; second < 600; second++) {
        int bad = drawBad(random, 3, 0.02);
        detector.observe(nowMicros += SECOND, 3 - bad, bad);
      }
      assertFalse(detector.isDegraded(), "seed " + seed + ": alarm by chance");
      int delaySeconds = 0;
      while (!detector.isDegraded() && delaySeconds < 60) {
        int bad = drawBad(random, 3, 0.6);
        detector.observe(nowMicros += SECOND, 3 - bad, bad);
        delaySeconds++;
      }
      lateAlarms += delaySeconds > 8 ? 1 : 0;
    }
    assertTrue(lateAlarms <= 2, lateAlarms + " of 100 alarms came after more than 8 seconds");
  }

  @Test
  void clearsWithHysteresis() {
    CusumDetector detector = newDetector();
    long nowMicros = 0;
    for (int second = 0; second < 5; second++) {
      detector.observe(nowMicros += SECOND, 0, 10);
    }
    assertTrue(detector.isDegraded());
    detector.observe(nowMicros += SECOND, 3, 0);
    assertTrue(detector.isDegraded(), "a few good requests are no recovery");
    int seconds = 0;
    while (detector.isDegraded() && seconds < 60) {
      detector.observe(nowMicros += SECOND, 10, 0);
      seconds++;
    }
    assertTrue(seconds >= 2 && seconds <= 10, "cleared after " + seconds + " s");
    assertTrue(detector.evidence() < 1);
  }

  @Test
  void degradationEndsAfterIdleTimeout() {
    CusumDetector detector = newDetector();
    detector.observe(SECOND, 0, 20);
    assertTrue(detector.isDegraded());
    detector.observe(20 * SECOND, 0, 0);
    assertTrue(detector.isDegraded());
    detector.observe(40 * SECOND, 0, 0);
    assertFalse(detector.isDegraded());
  }

  @Test
  void baselineAdaptsToLastingLossUpToItsMaximum() {
    CusumDetector detector = newDetector();
    long nowMicros = 0;
    for (int second = 0; second < 3_000; second++) {
      detector.observe(
          nowMicros += SECOND,
          second % 12 == 0 ? 9 : 10,
          second % 12 == 0 ? 1 : 0); // somewhat under 1 %
    }
    assertEquals(CusumDetector.Options.DEFAULT.minBaselineLoss(), detector.baselineLossRatio());
    for (int second = 0; second < 20_000; second++) {
      detector.observe(nowMicros += SECOND, 9, 1);
    }
    assertEquals(0.1, detector.baselineLossRatio(), 0.02);
    for (int second = 0; second < 20; second++) {
      detector.observe(nowMicros += SECOND, 0, 10);
    }
    assertTrue(detector.isDegraded());
    assertTrue(detector.baselineLossRatio() <= CusumDetector.Options.DEFAULT.maxBaselineLoss());
  }

  @Test
  void slowlyGrowingLossEventuallyRaisesAnAlarm() {
    CusumDetector detector = newDetector();
    long nowMicros = 0;
    for (int lossPercent = 3; lossPercent <= 60; lossPercent++) {
      for (int second = 0; second < 2_000; second++) {
        detector.observe(nowMicros += SECOND, 100 - lossPercent, lossPercent);
      }
    }
    assertTrue(detector.baselineLossRatio() <= CusumDetector.Options.DEFAULT.maxBaselineLoss());
    assertTrue(detector.isDegraded());
  }
}
