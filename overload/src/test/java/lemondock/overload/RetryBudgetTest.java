package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** The share of retries that the budget admits. */
class RetryBudgetTest {
  private static final long MILLIS = 1_000;

  @Test
  void admitsRetriesPerNewCallAndPerSecond() {
    RetryBudget budget = new RetryBudget(new RetryBudget.Settings(0.2, 10, 5_000 * MILLIS));
    budget.admittedShare(0);
    for (int i = 0; i < 70; i++) {
      budget.recordArrival(true);
    }
    assertEquals(
        1, budget.admittedShare(0), "ten retries per second are admitted without any new call");
    for (int second = 1; second <= 100; second++) {
      for (int i = 0; i < 100; i++) {
        budget.recordArrival(false);
        budget.recordArrival(true);
        budget.recordArrival(true);
      }
      budget.admittedShare(second * 1_000 * MILLIS);
    }
    assertEquals(
        (0.2 * 100 + 10) / 200,
        budget.admittedShare(100_000 * MILLIS),
        0.02,
        "0.2 retries per new call and ten per second are admitted");
    assertEquals(1, budget.admittedShare(200_000 * MILLIS), "the counts have decayed");
  }

  /**
   * Simulates clients that retry rejected and late calls, at twice the capacity: with the budget,
   * new calls keep their share of the capacity.
   */
  @Test
  void retryStormDoesNotDisplaceNewCalls() {
    double[] with = simulateRetryStorm(new RetryBudget.Settings(0.2, 10, 5_000 * MILLIS));
    double[] without = simulateRetryStorm(new RetryBudget.Settings(1e9, 1e9, 5_000 * MILLIS));
    assertTrue(
        with[0] > 1.3 * without[0],
        "first attempts served: " + with[0] + " with, " + without[0] + " without");
    assertTrue(
        with[1] > 0.85 * without[1],
        "all attempts served in time: " + with[1] + " with, " + without[1] + " without");
  }

  /**
   * Returns the number of first attempts and of all attempts that are served within 100 ms, per
   * millisecond, if each rejected or late call is retried up to 5 times.
   */
  private static double[] simulateRetryStorm(RetryBudget.Settings retryBudget) {
    Admission admission =
        new Admission(
            new Admission.Settings(
                10 * MILLIS,
                100 * MILLIS,
                500 * MILLIS,
                0.1,
                0.02,
                500 * MILLIS,
                5_000 * MILLIS,
                retryBudget),
            1);
    SplittableRandom random = new SplittableRandom(3);
    int durationMillis = 30_000;
    int[][] arrivals = new int[durationMillis + 600][6];
    double busyUntilMillis = 0;
    double[] served = new double[2];
    for (int nowMillis = 0; nowMillis < durationMillis; nowMillis++) {
      admission.recordDelay(
          nowMillis * MILLIS, 0, (long) Math.max(0, busyUntilMillis - nowMillis) * MILLIS);
      arrivals[nowMillis][0] = 2;
      for (int attempt = 0; attempt < 6; attempt++) {
        for (int i = 0; i < arrivals[nowMillis][attempt]; i++) {
          admission.recordArrival(1, attempt > 0);
          Admission.Gate gate = admission.gate();
          boolean admitted =
              gate.admits(1, random.nextDouble())
                  && (attempt == 0 || gate.admitsRetry(random.nextDouble()));
          busyUntilMillis = Math.max(busyUntilMillis, nowMillis) + (admitted ? 0.98 : 0.01);
          if (admitted && busyUntilMillis - nowMillis <= 100) {
            served[0] += attempt == 0 ? 1 : 0;
            served[1]++;
          } else if (attempt < 5) { // the client ignores the Retry-After
            arrivals[nowMillis + 100 + random.nextInt(400)][attempt + 1]++;
          }
        }
      }
    }
    return new double[] {served[0] / durationMillis, served[1] / durationMillis};
  }
}
