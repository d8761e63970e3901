package lemondock.anomaly;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which scopes count as degraded, and which outliers the changes name. */
class DegradationDetectorTest {
  private static final long SECOND = 1_000_000;
  private static final ServiceScope CLASS_A = new ServiceScope("a", "north");
  private static final ServiceScope CLASS_B = new ServiceScope("b", "north");
  private static final ServiceScope ALL_CLASSES =
      new ServiceScope(DegradationDetector.ALL, "north");

  private static CusumDetector newChangeDetector() {
    return new CusumDetector(CusumDetector.Options.DEFAULT);
  }

  private static EventCounts counts(ServiceScope scope, long good, long bad) {
    return new EventCounts(scope, good, bad);
  }

  @Test
  void namesTheClassAndTheServersThatAreOutliers() {
    DegradationDetector detector =
        new DegradationDetector(DegradationDetectorTest::newChangeDetector);
    ServiceScope readers = new ServiceScope("reader", "north");
    ServiceScope writers = new ServiceScope("writer", "south");
    List<DegradationChange> changes = new ArrayList<>();
    long good = 0;
    long bad = 0;
    for (int second = 1; second <= 20; second++) {
      good += 10;
      bad += second > 10 ? 8 : 0;
      changes.addAll(
          detector.observe(
              second * SECOND,
              List.of(counts(CLASS_A, good, 0), counts(CLASS_B, good - bad, bad)),
              List.of(counts(readers, good, 1), counts(writers, good - bad, 2 * bad))));
    }
    List<DegradationChange> starts = changes.stream().filter(DegradationChange::isStart).toList();
    assertEquals(
        List.of(CLASS_B, ALL_CLASSES), starts.stream().map(DegradationChange::scope).toList());
    assertEquals("attempts fail most at writers in south", starts.get(0).outliers());
    assertEquals(
        "most of it in class b, attempts fail most at writers in south", starts.get(1).outliers());
    assertTrue(
        starts.get(0).message().startsWith("service falls: b in north loses "),
        starts.get(0).message());
    assertFalse(
        detector.scopeStatuses().stream()
            .filter(status -> status.scope().equals(CLASS_A))
            .findFirst()
            .orElseThrow()
            .isDegraded());
  }

  @Test
  void smallLossesOfManyClassesDegradeTheWholeZone() {
    DegradationDetector detector =
        new DegradationDetector(DegradationDetectorTest::newChangeDetector);
    List<DegradationChange> changes = new ArrayList<>();
    for (int second = 1; second <= 4; second++) {
      List<EventCounts> classCounts = new ArrayList<>();
      for (int i = 0; i < 12; i++) {
        classCounts.add(counts(new ServiceScope("class" + i, "north"), second, second / 2));
      }
      changes.addAll(detector.observe(second * SECOND, classCounts, List.of()));
    }
    assertEquals(ALL_CLASSES, changes.get(0).scope());
  }

  @Test
  void decreasedCountersAreTakenAsRestartedFromZero() {
    DegradationDetector detector =
        new DegradationDetector(DegradationDetectorTest::newChangeDetector);
    detector.observe(SECOND, List.of(counts(CLASS_A, 1_000, 500)), List.of());
    detector = new DegradationDetector(DegradationDetectorTest::newChangeDetector);
    detector.observe(SECOND, List.of(counts(CLASS_A, 1_000, 0)), List.of());
    assertEquals(
        List.of(), detector.observe(2 * SECOND, List.of(counts(CLASS_A, 10, 0)), List.of()));
    assertEquals(1_010, detector.scopeStatuses().get(0).requestCount());
  }
}
