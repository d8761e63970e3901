package lemondock.anomaly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** The detector of falls on drawn traffic; all times are passed in. */
class DetectTest {
  private static final long SECOND = 1_000_000;
  private static final DegradationDetector.Key A = new DegradationDetector.Key("a", "north");
  private static final DegradationDetector.Key B = new DegradationDetector.Key("b", "north");
  private static final DegradationDetector.Key ALL =
      new DegradationDetector.Key(DegradationDetector.ALL, "north");

  private static Cusum cusum() {
    return new Cusum(Cusum.Settings.DEFAULT);
  }

  private static int draw(SplittableRandom random, int count, double share) {
    int bad = 0;
    for (int i = 0; i < count; i++) {
      bad += random.nextDouble() < share ? 1 : 0;
    }
    return bad;
  }

  @Test
  void tellsAFallWithinSecondsAtSmallCountsAndIsQuietBefore() {
    int late = 0;
    for (int seed = 0; seed < 100; seed++) {
      SplittableRandom random = new SplittableRandom(seed);
      Cusum it = cusum();
      long now = 0;
      for (int s = 0; s < 600; s++) {
        int bad = draw(random, 3, 0.02);
        it.add(now += SECOND, 3 - bad, bad);
      }
      assertFalse(it.fallen(), "seed " + seed + " cries at noise");
      int delay = 0;
      while (!it.fallen() && delay < 60) {
        int bad = draw(random, 3, 0.6);
        it.add(now += SECOND, 3 - bad, bad);
        delay++;
      }
      late += delay > 8 ? 1 : 0;
    }
    assertTrue(late <= 2, late + " of 100 falls were told after more than 8 seconds");
  }

  @Test
  void clearsWithHysteresisAndNotAtOneGoodSecond() {
    Cusum it = cusum();
    long now = 0;
    for (int s = 0; s < 5; s++) {
      it.add(now += SECOND, 0, 10);
    }
    assertTrue(it.fallen());
    it.add(now += SECOND, 3, 0);
    assertTrue(it.fallen(), "a few good requests are no recovery");
    int seconds = 0;
    while (it.fallen() && seconds < 60) {
      it.add(now += SECOND, 10, 0);
      seconds++;
    }
    assertTrue(seconds >= 2 && seconds <= 10, "cleared after " + seconds + " s");
    assertTrue(it.level() < 1);
  }

  @Test
  void aFallIsOverWhenNobodyAsksAnyMore() {
    Cusum it = cusum();
    it.add(SECOND, 0, 20);
    assertTrue(it.fallen());
    it.add(20 * SECOND, 0, 0);
    assertTrue(it.fallen());
    it.add(40 * SECOND, 0, 0);
    assertFalse(it.fallen());
  }

  @Test
  void aLastingModerateLossBecomesUsualButNeverBeyondItsBound() {
    Cusum it = cusum();
    long now = 0;
    for (int s = 0; s < 3_000; s++) {
      it.add(now += SECOND, s % 12 == 0 ? 9 : 10, s % 12 == 0 ? 1 : 0); // somewhat under 1 %
    }
    assertEquals(Cusum.Settings.DEFAULT.leastUsual(), it.usualLoss());
    for (int s = 0; s < 20_000; s++) {
      it.add(now += SECOND, 9, 1);
    }
    assertEquals(0.1, it.usualLoss(), 0.02);
    for (int s = 0; s < 20; s++) {
      it.add(now += SECOND, 0, 10);
    }
    assertTrue(it.fallen());
    assertTrue(it.usualLoss() <= Cusum.Settings.DEFAULT.mostUsual());
  }

  @Test
  void aLossThatCreepsUpIsToldInTheEnd() {
    Cusum it = cusum();
    long now = 0;
    for (int share = 3; share <= 60; share++) {
      for (int s = 0; s < 2_000; s++) {
        it.add(now += SECOND, 100 - share, share);
      }
    }
    assertTrue(it.usualLoss() <= Cusum.Settings.DEFAULT.mostUsual());
    assertTrue(it.fallen());
  }

  @Test
  void burnRatesNeedBothWindowsAndAFewBadOnes() {
    BurnRate it = new BurnRate(BurnRate.Settings.DEFAULT);
    long now = 0;
    for (int s = 0; s < 12; s++) {
      it.add(now += SECOND, 100, 0);
    }
    it.add(now += SECOND, 0, 100); // the short window burns, the long one not yet
    assertFalse(it.fallen());
    for (int s = 0; s < 3; s++) {
      it.add(now += SECOND, 0, 100);
    }
    assertTrue(it.fallen());
    for (int s = 0; s < 8; s++) {
      it.add(now += SECOND, 100, 0);
    }
    assertFalse(it.fallen());
    BurnRate few = new BurnRate(BurnRate.Settings.DEFAULT);
    few.add(SECOND, 0, 2);
    assertFalse(few.fallen());
  }

  private static DegradationDetector.Count count(DegradationDetector.Key key, long good, long bad) {
    return new DegradationDetector.Count(key, good, bad);
  }

  @Test
  void saysWhichClassAndWhichServersStandOut() {
    DegradationDetector detector = new DegradationDetector(DetectTest::cusum);
    DegradationDetector.Key readers = new DegradationDetector.Key("reader", "north");
    DegradationDetector.Key writers = new DegradationDetector.Key("writer", "south");
    List<DegradationDetector.Change> told = new ArrayList<>();
    long good = 0;
    long bad = 0;
    for (int s = 1; s <= 20; s++) {
      good += 10;
      bad += s > 10 ? 8 : 0;
      told.addAll(
          detector.observe(
              s * SECOND,
              List.of(count(A, good, 0), count(B, good - bad, bad)),
              List.of(count(readers, good, 1), count(writers, good - bad, 2 * bad))));
    }
    List<DegradationDetector.Change> falls =
        told.stream().filter(DegradationDetector.Change::began).toList();
    assertEquals(
        Stream.of(B, ALL).toList(), falls.stream().map(DegradationDetector.Change::key).toList());
    assertEquals("attempts fail most at writers in south", falls.get(0).standsOut());
    assertEquals(
        "most of it in class b, attempts fail most at writers in south", falls.get(1).standsOut());
    assertTrue(
        falls.get(0).line().startsWith("service falls: b in north loses "), falls.get(0).line());
    assertFalse(
        detector.sights().stream()
            .filter(s -> s.key().equals(A))
            .findFirst()
            .orElseThrow()
            .fallen());
  }

  @Test
  void manyClassesThatLoseALittleAddUpToAFallOfTheZone() {
    DegradationDetector detector = new DegradationDetector(DetectTest::cusum);
    List<DegradationDetector.Change> told = new ArrayList<>();
    for (int s = 1; s <= 4; s++) {
      List<DegradationDetector.Count> counts = new ArrayList<>();
      for (int c = 0; c < 12; c++) {
        counts.add(count(new DegradationDetector.Key("class" + c, "north"), s, s / 2));
      }
      told.addAll(detector.observe(s * SECOND, counts, List.of()));
    }
    assertEquals(ALL, told.get(0).key());
  }

  @Test
  void countersThatBeginAnewAreANewLife() {
    DegradationDetector detector = new DegradationDetector(DetectTest::cusum);
    detector.observe(SECOND, List.of(count(A, 1_000, 500)), List.of());
    detector = new DegradationDetector(DetectTest::cusum);
    detector.observe(SECOND, List.of(count(A, 1_000, 0)), List.of());
    assertEquals(List.of(), detector.observe(2 * SECOND, List.of(count(A, 10, 0)), List.of()));
    assertEquals(1_010, detector.sights().get(0).requests());
  }
}
