package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Admission by queueing delay and by resources, with times set by the test. */
class AdmissionTest {
  private static final long MILLIS = 1_000;

  private static final Admission.Settings SETTINGS =
      new Admission.Settings(
          10 * MILLIS,
          100 * MILLIS,
          500 * MILLIS,
          0.1,
          0.02,
          500 * MILLIS,
          5_000 * MILLIS,
          new RetryBudget.Settings(0.2, 10, 5_000 * MILLIS));

  @Test
  void longDelaysAreNoOverloadWhileTheShortestIsBelowTarget() {
    Admission admission = new Admission(SETTINGS, 1);
    for (int i = 0; i < 1_000; i++) {
      admission.recordDelay(i * 10 * MILLIS, 0, i % 5 == 0 ? 0 : 200 * MILLIS);
    }
    assertEquals(1, admission.admittedShare());
    assertSame(Admission.Gate.OPEN, admission.gate());
    assertTrue(admission.isRelaxed());
    for (int i = 0; i < 20; i++) {
      admission.recordDelay(10_000 * MILLIS + i * 10 * MILLIS, 0, 4 * MILLIS);
    }
    assertFalse(
        admission.isRelaxed(),
        "a delay above a quarter of the target is not relaxed, so it is measured more often");
  }

  @Test
  void rejectsLowestPriorityFirstWhenShortestDelayExceedsTarget() {
    Admission admission = new Admission(SETTINGS, 1);
    double low = Admission.priority(1, 1_000 * MILLIS);
    double high = Admission.priority(3, 3_000 * MILLIS);
    for (int i = 0; i < 400; i++) {
      admission.recordArrival(i % 4 == 0 ? high : low, false);
    }
    long now = 0;
    for (int i = 0; i <= 10; i++) {
      admission.recordDelay(
          now += 10 * MILLIS, 0, (50 + 20 * i) * MILLIS); // the queue grows by 2 ms per ms
    }
    // The shortest delay of the interval of 100 ms was 50 ms, which is 40 ms above the target.
    assertEquals(1 / 1.5 * (1 - 40.0 / 500), admission.admittedShare(), 1e-9);
    for (int i = 0; i < 10; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 250 * MILLIS);
    }
    assertTrue(
        admission.gate().admits(high, 0) && admission.admittedShare() < 0.25,
        "share " + admission.admittedShare());
    assertFalse(
        admission.gate().admits(low, 0),
        "a quarter of the requests has a higher priority, so none of the others is admitted");
    for (int i = 0; i < 400; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 500 * MILLIS);
    }
    assertEquals(0.02, admission.admittedShare(), 1e-9);
    assertFalse(admission.gate().admits(high, 0.3));
    assertTrue(admission.gate().admits(high, 0.05), "the minimum share is always admitted");
    int intervals = 0;
    while (admission.admittedShare() < 1) {
      for (int i = 0; i < 10; i++) {
        admission.recordDelay(now += 10 * MILLIS, 0, 0);
      }
      intervals++;
    }
    assertTrue(intervals <= 21, "everything is admitted again after " + intervals * 100 + " ms");
    assertSame(Admission.Gate.OPEN, admission.gate());
  }

  @Test
  void worstQueueDecidesAndQueueWithoutDelaysIsIgnored() {
    Admission admission = new Admission(SETTINGS, 3);
    admission.recordArrival(1, false);
    long now = 0;
    for (int i = 0; i <= 20; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 0);
      admission.recordDelay(now, 1, i < 10 ? 5 * MILLIS : 60 * MILLIS);
    }
    assertEquals(0.9 / 1.55, admission.admittedShare(), 1e-9);
    for (int i = 0; i < 400; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 0);
    }
    assertEquals(1, admission.admittedShare());
  }

  @Test
  void ongoingDelayCountsOnlyWithoutCompletedDelays() {
    Admission admission = new Admission(SETTINGS, 2);
    long now = 0;
    admission.recordDelay(now, 0, 0);
    // A probe that waits in a queue of 300 ms reports its growing delay.
    for (int i = 1; i <= 10; i++) {
      admission.recordOngoingDelay(1, i * 10 * MILLIS);
      admission.recordDelay(now += 10 * MILLIS, 0, 0);
    }
    assertEquals(
        1 / 2.0 * (1 - 90.0 / 500),
        admission.admittedShare(),
        1e-9,
        "the last reported delay counts, not the first");
    Admission other = new Admission(SETTINGS, 2);
    other.recordDelay(now = 0, 0, 0);
    for (int i = 1; i <= 10; i++) {
      other.recordDelay(now, 1, 5 * MILLIS);
      other.recordOngoingDelay(1, 90 * MILLIS);
      other.recordDelay(now += 10 * MILLIS, 0, 0);
    }
    assertEquals(
        1, other.admittedShare(), "a short completed delay takes precedence over an ongoing one");
  }

  @Test
  void retryAfterIsSpreadAndGrowsWithOverloadDuration() {
    Admission admission = new Admission(SETTINGS, 1);
    admission.recordArrival(1, false);
    long now = 0;
    for (int i = 0; i < 25; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 50 * MILLIS);
    }
    long earlyRetryAfterMicros = admission.gate().retryAfterMicros(0.5);
    for (int i = 0; i < 5_000; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 50 * MILLIS);
    }
    assertTrue(
        earlyRetryAfterMicros >= 500 * MILLIS && earlyRetryAfterMicros < 1_000 * MILLIS,
        "early Retry-After in microseconds: " + earlyRetryAfterMicros);
    assertEquals(5_000 * MILLIS * 0.5, admission.gate().retryAfterMicros(0));
    assertTrue(admission.gate().retryAfterMicros(0.999) > 9_000 * MILLIS);
  }

  @Test
  void shorterLatencyObjectiveHasPriorityAmongEqualWeights() {
    assertTrue(Admission.priority(1, 500 * MILLIS) > Admission.priority(1, 5_000 * MILLIS));
    assertTrue(Admission.priority(1.01, 500_000 * MILLIS) > Admission.priority(1, 0));
  }

  /**
   * Simulates a server with a fixed capacity and a queue, and compares its goodput beyond
   * saturation with and without admission control.
   */
  @Test
  void goodputHoldsAtTenTimesCapacity() {
    double peak = goodput(1.0, true);
    assertTrue(peak > 0.8, "goodput at capacity: " + peak);
    for (double load : new double[] {2, 10}) {
      double with = goodput(load, true);
      double without = goodput(load, false);
      assertTrue(
          with >= 0.85 * peak,
          "goodput at " + load + " times capacity: " + with + ", at capacity: " + peak);
      assertTrue(
          with > 3 * without,
          "goodput at " + load + " times capacity: " + with + ", without admission: " + without);
    }
  }

  /**
   * Returns the number of requests served within 100 ms, per millisecond of simulated time, at a
   * load that is a multiple of the capacity of about one request per millisecond.
   */
  private static double goodput(double load, boolean isLimited) {
    Admission admission = new Admission(SETTINGS, 1);
    SplittableRandom random = new SplittableRandom(1);
    double busyUntilMillis = 0;
    double servedInTime = 0;
    double priority = Admission.priority(1, 100 * MILLIS);
    int durationMillis = 20_000;
    double dueRequests = 0;
    for (int nowMillis = 0; nowMillis < durationMillis; nowMillis++) {
      admission.recordDelay(
          nowMillis * MILLIS, 0, (long) Math.max(0, busyUntilMillis - nowMillis) * MILLIS);
      for (dueRequests += load; dueRequests >= 1; dueRequests--) {
        admission.recordArrival(priority, false);
        if (!isLimited || admission.gate().admits(priority, random.nextDouble())) {
          busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + 0.98;
          servedInTime += busyUntilMillis - nowMillis <= 100 && nowMillis > 2_000 ? 1 : 0;
        } else {
          busyUntilMillis =
              Math.max(busyUntilMillis, nowMillis) + 0.01; // a rejection takes some work, too
        }
      }
    }
    return servedInTime / (durationMillis - 2_000);
  }

  @Test
  void resourceShortageReducesShareAndHardLimitAdmitsNothing() {
    ResourcePressure pressure = new ResourcePressure(new ResourcePressure.Settings(0.8, 0.95, 0.2));
    Admission admission = new Admission(SETTINGS, 1);
    admission.recordArrival(1, false);
    pressure.update(0, 0.8, 0.1);
    assertEquals(1, pressure.admittedShare());
    assertEquals(ResourcePressure.Resource.NONE, pressure.scarcest());
    pressure.update(1_000 * MILLIS, 0.5, 0.92);
    assertEquals(0.2, pressure.admittedShare(), 1e-9);
    assertEquals(ResourcePressure.Resource.HANDLES, pressure.scarcest());
    admission.limitByResources(1_000 * MILLIS, pressure.admittedShare());
    assertEquals(0.2, admission.admittedShare(), 1e-9);
    assertTrue(admission.gate().admits(1, 0.19) && !admission.gate().admits(1, 0.21));
    assertTrue(admission.gate().admitsNewSession(0.19) && !admission.gate().admitsNewSession(0.21));
    pressure.update(2_000 * MILLIS, 0.99, 0.1);
    assertEquals(ResourcePressure.Resource.MEMORY, pressure.scarcest());
    admission.limitByResources(2_000 * MILLIS, pressure.admittedShare());
    assertFalse(admission.gate().admits(1e9, 0), "nothing is admitted above the hard limit");
    assertFalse(admission.gate().admitsNewSession(0) || admission.gate().admitsRetry(0));
    assertTrue(
        pressure.tryStartMemoryRefresh(2_000 * MILLIS, 5_000 * MILLIS),
        "the measured memory use may be outdated");
    assertFalse(
        pressure.tryStartMemoryRefresh(6_999 * MILLIS, 5_000 * MILLIS),
        "refreshed again within the minimum interval");
    pressure.update(3_000 * MILLIS, 0.1, 0.1);
    assertFalse(
        pressure.tryStartMemoryRefresh(60_000 * MILLIS, 5_000 * MILLIS),
        "refreshed though no resource is short");
    assertEquals(0.2, pressure.admittedShare(), 1e-9, "the share rises slowly, by 0.2 per second");
    pressure.update(3_500 * MILLIS, 0.1, 0.1);
    assertEquals(0.3, pressure.admittedShare(), 1e-9);
    pressure.update(60_000 * MILLIS, 0.1, 0.1);
    admission.limitByResources(60_000 * MILLIS, pressure.admittedShare());
    assertSame(Admission.Gate.OPEN, admission.gate());
  }

  @Test
  void delayAndResourceSharesMultiply() {
    Admission admission = new Admission(SETTINGS, 1);
    admission.recordArrival(1, false);
    admission.limitByResources(0, 0.5);
    long now = 0;
    for (int i = 0; i <= 20; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 0);
    }
    assertEquals(
        0.5, admission.admittedShare(), 1e-9, "limited by resources only, without any delay");
    for (int i = 0; i <= 10; i++) {
      admission.recordDelay(now += 10 * MILLIS, 0, 260 * MILLIS);
    }
    assertTrue(admission.admittedShare() < 0.26, "share " + admission.admittedShare());
    admission.limitByResources(now, 1);
    assertTrue(admission.admittedShare() < 0.52 && admission.gate() != Admission.Gate.OPEN);
  }
}
