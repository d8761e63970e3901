package lemondock.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Admission and lateness on a clock moved by hand. */
class AdmitTest {
  private static final long MS = 1_000;
  private static final Admission.Settings SETTINGS =
      new Admission.Settings(
          10 * MS,
          100 * MS,
          500 * MS,
          0.1,
          0.02,
          500 * MS,
          5_000 * MS,
          new RetryBudget.Settings(0.2, 10, 5_000 * MS));

  @Test
  void aLongWaitAmongShortOnesIsNoOverload() {
    Admission it = new Admission(SETTINGS, 1);
    for (int i = 0; i < 1_000; i++) {
      it.waited(i * 10 * MS, 0, i % 5 == 0 ? 0 : 200 * MS);
    }
    assertEquals(1, it.share());
    assertSame(Admission.Gate.OPEN, it.gate());
    assertTrue(it.calm());
    for (int i = 0; i < 20; i++) {
      it.waited(10_000 * MS + i * 10 * MS, 0, 4 * MS);
    }
    assertFalse(it.calm(), "not bad yet, but to be looked at more often");
  }

  @Test
  void whereEvenTheShortestWaitIsLongTheLeastValuableAreRefusedFirst() {
    Admission it = new Admission(SETTINGS, 1);
    double low = Admission.value(1, 1_000 * MS);
    double high = Admission.value(3, 3_000 * MS);
    for (int i = 0; i < 400; i++) {
      it.arrived(i % 4 == 0 ? high : low, false);
    }
    long now = 0;
    for (int i = 0; i <= 10; i++) {
      it.waited(now += 10 * MS, 0, (50 + 20 * i) * MS); // grows twice as fast as it is done
    }
    assertEquals(
        1 / 1.5 * (1 - 40.0 / 500),
        it.share(),
        1e-9); // the shortest was 50 ms in 100, above a target of 10
    for (int i = 0; i < 10; i++) {
      it.waited(now += 10 * MS, 0, 250 * MS);
    }
    assertTrue(it.gate().admits(high, 0) && it.share() < 0.25, "share " + it.share());
    assertFalse(
        it.gate().admits(low, 0), "a quarter is worth more, so nothing of the rest is let in");
    for (int i = 0; i < 400; i++) {
      it.waited(now += 10 * MS, 0, 500 * MS);
    }
    assertEquals(0.02, it.share(), 1e-9);
    assertFalse(it.gate().admits(high, 0.3));
    assertTrue(it.gate().admits(high, 0.05), "never nothing at all");
    int intervals = 0;
    while (it.share() < 1) {
      for (int i = 0; i < 10; i++) {
        it.waited(now += 10 * MS, 0, 0);
      }
      intervals++;
    }
    assertTrue(intervals <= 21, "back after " + intervals * 100 + " ms");
    assertSame(Admission.Gate.OPEN, it.gate());
  }

  @Test
  void theWorstOfTheQueuesCountsAndOneNotHeardOfDoesNot() {
    Admission it = new Admission(SETTINGS, 3);
    it.arrived(1, false);
    long now = 0;
    for (int i = 0; i <= 20; i++) {
      it.waited(now += 10 * MS, 0, 0);
      it.waited(now, 1, i < 10 ? 5 * MS : 60 * MS);
    }
    assertEquals(0.9 / 1.55, it.share(), 1e-9);
    for (int i = 0; i < 400; i++) {
      it.waited(now += 10 * MS, 0, 0);
    }
    assertEquals(1, it.share());
  }

  @Test
  void whatStillWaitsCountsOnlyIfNothingElseWasHeard() {
    Admission it = new Admission(SETTINGS, 2);
    long now = 0;
    it.waited(now, 0, 0);
    for (int i = 1;
        i <= 10;
        i++) { // the probe of a queue that is 300 ms long is asked after as it grows old
      it.waiting(1, i * 10 * MS);
      it.waited(now += 10 * MS, 0, 0);
    }
    assertEquals(
        1 / 2.0 * (1 - 90.0 / 500), it.share(), 1e-9, "the oldest it was, not the youngest");
    Admission other = new Admission(SETTINGS, 2);
    other.waited(now = 0, 0, 0);
    for (int i = 1; i <= 10; i++) {
      other.waited(now, 1, 5 * MS);
      other.waiting(1, 90 * MS);
      other.waited(now += 10 * MS, 0, 0);
    }
    assertEquals(1, other.share(), "one that passed quickly says more than one that waits");
  }

  @Test
  void adviceIsSpreadAndGrowsWithTheOverload() {
    Admission it = new Admission(SETTINGS, 1);
    it.arrived(1, false);
    long now = 0;
    for (int i = 0; i < 25; i++) {
      it.waited(now += 10 * MS, 0, 50 * MS);
    }
    long early = it.gate().retryAfter(0.5);
    for (int i = 0; i < 5_000; i++) {
      it.waited(now += 10 * MS, 0, 50 * MS);
    }
    assertTrue(early >= 500 * MS && early < 1_000 * MS, "early " + early);
    assertEquals(5_000 * MS * 0.5, it.gate().retryAfter(0));
    assertTrue(it.gate().retryAfter(0.999) > 9_000 * MS);
  }

  @Test
  void aMoreUrgentClassOfTheSameWorthGoesFirst() {
    assertTrue(Admission.value(1, 500 * MS) > Admission.value(1, 5_000 * MS));
    assertTrue(Admission.value(1.01, 500_000 * MS) > Admission.value(1, 0));
  }

  /**
   * A server of fixed capacity and a queue: goodput past saturation, with and without. Simulated.
   */
  @Test
  void goodputHoldsAtTenTimesTheCapacity() {
    double peak = goodput(1.0, true);
    assertTrue(peak > 0.8, "at capacity " + peak);
    for (double load : new double[] {2, 10}) {
      double with = goodput(load, true);
      double without = goodput(load, false);
      assertTrue(with >= 0.85 * peak, "at " + load + " times capacity " + with + " of " + peak);
      assertTrue(with > 3 * without, "without admission " + without);
    }
  }

  /** Worth done within 100 ms a millisecond of service, for one unit of work a millisecond. */
  private static double goodput(double load, boolean admission) {
    Admission it = new Admission(SETTINGS, 1);
    SplittableRandom random = new SplittableRandom(1);
    double free = 0;
    double good = 0;
    double value = Admission.value(1, 100 * MS);
    int milliseconds = 20_000;
    double due = 0;
    for (int ms = 0; ms < milliseconds; ms++) {
      it.waited(ms * MS, 0, (long) Math.max(0, free - ms) * MS);
      for (due += load; due >= 1; due--) {
        it.arrived(value, false);
        if (!admission || it.gate().admits(value, random.nextDouble())) {
          free = Math.max(free, ms) + 0.98;
          good += free - ms <= 100 && ms > 2_000 ? 1 : 0;
        } else {
          free = Math.max(free, ms) + 0.01; // a refusal costs something too
        }
      }
    }
    return good / (milliseconds - 2_000);
  }

  @Test
  void aStallIsCountedOnceAndJudgingWaitsForTheGrace() {
    StallMonitor it = new StallMonitor(100 * MS, 300 * MS, 50 * MS);
    long now = 0;
    for (int i = 0; i < 10; i++) {
      assertEquals(now + 100 * MS, it.ticked(now));
      now += 100 * MS + 20 * MS; // a little late each time is no stall
    }
    assertEquals(0, it.stalled());
    assertEquals(0, it.putOff(now), "judged at once while nothing stalls");
    assertEquals(0, it.putOff(Long.MAX_VALUE - 1));
    now += 3_000 * MS;
    it.notice(now); // a timer or a socket runs before the tick
    it.ticked(now + 1 * MS);
    assertEquals(3_020 * MS, it.stalled());
    assertEquals(1, it.stalls());
    assertEquals(50 * MS, it.putOff(now));
    assertEquals(0, it.putOff(now + 50 * MS));
    it.ticked(now + 101 * MS);
    assertEquals(3_020 * MS, it.longest());
  }

  @Test
  void whatIsShortOfMemoryOrHandlesCutsTheShareAndNothingComesInAtTheHardPart() {
    ResourcePressure it = new ResourcePressure(new ResourcePressure.Settings(0.8, 0.95, 0.2));
    Admission admission = new Admission(SETTINGS, 1);
    admission.arrived(1, false);
    it.saw(0, 0.8, 0.1);
    assertEquals(1, it.scale());
    assertEquals(ResourcePressure.Resource.NONE, it.shortest());
    it.saw(1_000 * MS, 0.5, 0.92);
    assertEquals(0.2, it.scale(), 1e-9);
    assertEquals(ResourcePressure.Resource.HANDLES, it.shortest());
    admission.pressed(1_000 * MS, it.scale());
    assertEquals(0.2, admission.share(), 1e-9);
    assertTrue(admission.gate().admits(1, 0.19) && !admission.gate().admits(1, 0.21));
    assertTrue(admission.gate().admitsNewcomer(0.19) && !admission.gate().admitsNewcomer(0.21));
    it.saw(2_000 * MS, 0.99, 0.1);
    assertEquals(ResourcePressure.Resource.MEMORY, it.shortest());
    admission.pressed(2_000 * MS, it.scale());
    assertFalse(admission.gate().admits(1e9, 0), "nothing at all is let in");
    assertFalse(admission.gate().admitsNewcomer(0) || admission.gate().admitsRepeat(0));
    assertTrue(it.refreshes(2_000 * MS, 5_000 * MS), "the figure may be old");
    assertFalse(it.refreshes(6_999 * MS, 5_000 * MS), "but not too often");
    it.saw(3_000 * MS, 0.1, 0.1);
    assertFalse(it.refreshes(60_000 * MS, 5_000 * MS), "nothing is short");
    assertEquals(0.2, it.scale(), 1e-9, "what was let in last has not taken its part yet");
    it.saw(3_500 * MS, 0.1, 0.1);
    assertEquals(0.3, it.scale(), 1e-9);
    it.saw(60_000 * MS, 0.1, 0.1);
    admission.pressed(60_000 * MS, it.scale());
    assertSame(Admission.Gate.OPEN, admission.gate());
  }

  @Test
  void pressureAndLatenessMultiplyAndNeitherOpensWhatTheOtherShuts() {
    Admission it = new Admission(SETTINGS, 1);
    it.arrived(1, false);
    it.pressed(0, 0.5);
    long now = 0;
    for (int i = 0; i <= 20; i++) {
      it.waited(now += 10 * MS, 0, 0);
    }
    assertEquals(0.5, it.share(), 1e-9, "no wait, but little memory");
    for (int i = 0; i <= 10; i++) {
      it.waited(now += 10 * MS, 0, 260 * MS);
    }
    assertTrue(it.share() < 0.26, "share " + it.share());
    it.pressed(now, 1);
    assertTrue(it.share() < 0.52 && it.gate() != Admission.Gate.OPEN);
  }

  @Test
  void repeatsGetAPartOfWhatIsNewAndSomeASecondBesides() {
    RetryBudget it = new RetryBudget(new RetryBudget.Settings(0.2, 10, 5_000 * MS));
    it.share(0);
    for (int i = 0; i < 70; i++) {
      it.arrived(true);
    }
    assertEquals(
        1, it.share(0), "ten a second over the time it remembers, with nothing new at all");
    for (int second = 1; second <= 100; second++) {
      for (int i = 0; i < 100; i++) {
        it.arrived(false);
        it.arrived(true);
        it.arrived(true);
      }
      it.share(second * 1_000 * MS);
    }
    assertEquals(
        (0.2 * 100 + 10) / 200,
        it.share(100_000 * MS),
        0.02,
        "a part of the new ones and the floor");
    assertEquals(1, it.share(200_000 * MS), "forgotten");
  }

  /**
   * Clients that come again when refused or late, at twice the capacity: with the budget new calls
   * keep their share. Simulated.
   */
  @Test
  void aStormOfRepeatsDoesNotTakeThePlaceOfNewCalls() {
    double[] with = storm(new RetryBudget.Settings(0.2, 10, 5_000 * MS));
    double[] without = storm(new RetryBudget.Settings(1e9, 1e9, 5_000 * MS));
    assertTrue(
        with[0] > 1.3 * without[0],
        "first tries served: " + with[0] + " with, " + without[0] + " without");
    assertTrue(
        with[1] > 0.85 * without[1],
        "all served in time: " + with[1] + " with, " + without[1] + " without");
  }

  /**
   * First tries, and all, served within 100 ms a millisecond, when each refused or late call comes
   * again up to 5 times.
   */
  private static double[] storm(RetryBudget.Settings budget) {
    Admission it =
        new Admission(
            new Admission.Settings(
                10 * MS, 100 * MS, 500 * MS, 0.1, 0.02, 500 * MS, 5_000 * MS, budget),
            1);
    SplittableRandom random = new SplittableRandom(3);
    int milliseconds = 30_000;
    int[][] coming = new int[milliseconds + 600][6];
    double free = 0;
    double[] served = new double[2];
    for (int ms = 0; ms < milliseconds; ms++) {
      it.waited(ms * MS, 0, (long) Math.max(0, free - ms) * MS);
      coming[ms][0] = 2;
      for (int attempt = 0; attempt < 6; attempt++) {
        for (int i = 0; i < coming[ms][attempt]; i++) {
          it.arrived(1, attempt > 0);
          Admission.Gate gate = it.gate();
          boolean in =
              gate.admits(1, random.nextDouble())
                  && (attempt == 0 || gate.admitsRepeat(random.nextDouble()));
          free = Math.max(free, ms) + (in ? 0.98 : 0.01);
          if (in && free - ms <= 100) {
            served[0] += attempt == 0 ? 1 : 0;
            served[1]++;
          } else if (attempt < 5) { // impatient: it does not keep to the advice
            coming[ms + 100 + random.nextInt(400)][attempt + 1]++;
          }
        }
      }
    }
    return new double[] {served[0] / milliseconds, served[1] / milliseconds};
  }

  @Test
  void theGradientShrinksWhileTimesGrowAndGrowsBackAfterwards() {
    GradientLimit it = new GradientLimit(10, 100, 1_000, 1.5);
    for (int i = 0; i < 2_000; i++) {
      it.sample(20 * MS, it.limit());
    }
    assertEquals(1_000, it.limit());
    for (int i = 0; i < 100; i++) {
      it.sample(200 * MS, it.limit());
    }
    assertTrue(it.limit() < 100, "limit " + it.limit());
    int low = it.limit();
    for (int i = 0; i < 300; i++) {
      it.sample(20 * MS, 1);
    }
    assertEquals(low, it.limit(), "not by calls that it did not bound");
    for (int i = 0; i < 300; i++) {
      it.sample(20 * MS, it.limit());
    }
    assertEquals(1_000, it.limit());
  }
}
