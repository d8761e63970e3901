package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** How many retries are admitted for new calls. */
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
        1,
        budget.admittedShare(0),
        "ten a second over the time it remembers, with nothing new at all");
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
        "a part of the new ones and the floor");
    assertEquals(1, budget.admittedShare(200_000 * MILLIS), "forgotten");
  }

  /**
   * Clients that retry when rejected or late, at twice the capacity: with the budget new calls keep
   * their share. Simulated.
   */
  @Test
  void retryStormDoesNotDisplaceNewCalls() {
    double[] with = storm(new RetryBudget.Settings(0.2, 10, 5_000 * MILLIS));
    double[] without = storm(new RetryBudget.Settings(1e9, 1e9, 5_000 * MILLIS));
    assertTrue(
        with[0] > 1.3 * without[0],
        "first attempts served: " + with[0] + " with, " + without[0] + " without");
    assertTrue(
        with[1] > 0.85 * without[1],
        "all served in time: " + with[1] + " with, " + without[1] + " without");
  }

  /**
   * First attempts, and all, served within 100 ms a millisecond, when each rejected or late call
   * comes again up to 5 times.
   */
  private static double[] storm(RetryBudget.Settings retryBudget) {
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
    int milliseconds = 30_000;
    int[][] coming = new int[milliseconds + 600][6];
    double free = 0;
    double[] served = new double[2];
    for (int ms = 0; ms < milliseconds; ms++) {
      admission.recordDelay(ms * MILLIS, 0, (long) Math.max(0, free - ms) * MILLIS);
      coming[ms][0] = 2;
      for (int attempt = 0; attempt < 6; attempt++) {
        for (int i = 0; i < coming[ms][attempt]; i++) {
          admission.recordArrival(1, attempt > 0);
          Admission.Gate gate = admission.gate();
          boolean in =
              gate.admits(1, random.nextDouble())
                  && (attempt == 0 || gate.admitsRetry(random.nextDouble()));
          free = Math.max(free, ms) + (in ? 0.98 : 0.01);
          if (in && free - ms <= 100) {
            served[0] += attempt == 0 ? 1 : 0;
            served[1]++;
          } else if (attempt < 5) { // it ignores the Retry-After
            coming[ms + 100 + random.nextInt(400)][attempt + 1]++;
          }
        }
      }
    }
    return new double[] {served[0] / milliseconds, served[1] / milliseconds};
  }
}
