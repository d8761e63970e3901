package lemondock.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Recording through several recorders, snapshots, and the limit on slots. */
class MetricRegistryTest {
  private static final MetricFamily PAIR =
      MetricFamily.ofFields(
          "pair",
          List.of("who"),
          "two counters",
          new MetricField("left", MetricField.Kind.COUNTER, 0, "1", ""),
          new MetricField("right", MetricField.Kind.COUNTER, 0, "1", ""));
  private static final MetricFamily LEVEL =
      MetricFamily.ofFields(
          "level",
          List.of(),
          "a gauge",
          new MetricField("now", MetricField.Kind.GAUGE, 0, "1", ""));
  private static final MetricFamily TIMES =
      MetricFamily.durationSummary("times", List.of(), "times");

  @Test
  void countersAndGaugesOfAllRecordersAreSummed() {
    MetricRegistry registry = new MetricRegistry(4096);
    Series pair = registry.series(PAIR, "a");
    Series level = registry.series(LEVEL);
    Recorder firstRecorder = registry.newRecorder();
    Recorder secondRecorder = registry.newRecorder();
    firstRecorder.increment(pair.slot(0));
    secondRecorder.increment(pair.slot(0));
    for (int value : new int[] {7, 3}) {
      long ticket = firstRecorder.beginUpdate();
      firstRecorder.set(level.slot(0), value);
      firstRecorder.endUpdate(ticket);
    }
    long ticket = secondRecorder.beginUpdate();
    secondRecorder.set(level.slot(0), 10);
    secondRecorder.endUpdate(ticket);
    assertEquals(2, registry.snapshotAndEndInterval().value(PAIR, "left", List.of("a")));
    firstRecorder.increment(pair.slot(0));
    MetricsSnapshot later = registry.snapshotAndEndInterval();
    assertEquals(3, later.value(PAIR, "left", List.of("a")));
    assertEquals(13, later.value(LEVEL, "now", List.of()));
  }

  @Test
  void snapshotIncludesAllOrNoneOfAConcurrentUpdate() throws InterruptedException {
    MetricRegistry registry = new MetricRegistry(8192);
    Series near = registry.series(PAIR, "near");
    for (int i = 0; i < 1_500; i++) { // so that the update spans two chunks of slots
      registry.series(PAIR, "between" + i);
    }
    Series far = registry.series(PAIR, "far");
    Series times = registry.series(TIMES);
    Recorder recorder = registry.newRecorder();
    AtomicBoolean stop = new AtomicBoolean();
    Thread writer =
        new Thread(
            () -> {
              while (!stop.get()) {
                long ticket = recorder.beginUpdate();
                recorder.add(near.slot(0), 1);
                recorder.add(far.slot(1), 1);
                recorder.observe(times, 5);
                recorder.endUpdate(ticket);
              }
            });
    writer.start();
    long last = 0;
    for (int i = 0; i < 2_000; i++) {
      MetricsSnapshot snapshot = registry.snapshotAndEndInterval();
      long left = snapshot.value(PAIR, "left", List.of("near"));
      assertEquals(left, snapshot.value(PAIR, "right", List.of("far")), "torn at snapshot " + i);
      assertEquals(left, snapshot.value(TIMES, "count", List.of()));
      assertEquals(5 * left, snapshot.value(TIMES, "sum", List.of()));
      assertTrue(left >= last);
      last = left;
    }
    stop.set(true);
    writer.join();
    assertTrue(last > 0);
  }

  @Test
  void quantilesCoverAnIntervalAndCountsTheProcessLife() {
    MetricRegistry registry = new MetricRegistry(4096);
    Series times = registry.series(TIMES);
    Recorder recorder = registry.newRecorder();
    for (int i = 1; i <= 1000; i++) {
      recorder.recordDuration(times, i * 1_000);
    }
    MetricsSnapshot inInterval = registry.snapshot();
    assertEquals(500_000, inInterval.value(TIMES, "p50", List.of()), 5_000);
    recorder.recordDuration(times, 2_000_000); // snapshot() above did not end the interval
    MetricsSnapshot first = registry.snapshotAndEndInterval();
    assertEquals(990_000, first.value(TIMES, "p99", List.of()), 10_000);
    assertEquals(2_000_000, first.value(TIMES, "max", List.of()), 20_000);
    assertEquals(1001, first.value(TIMES, "count", List.of()));
    recorder.recordDuration(times, 50);
    MetricsSnapshot second = registry.snapshotAndEndInterval();
    assertEquals(50, second.value(TIMES, "p999", List.of()));
    assertEquals(1002, second.value(TIMES, "count", List.of()));
    MetricsSnapshot emptyInterval = registry.snapshotAndEndInterval();
    assertEquals(MetricsSnapshot.NO_VALUE, emptyInterval.value(TIMES, "p50", List.of()));
    recorder.recordDuration(times, -5);
    recorder.recordDuration(times, Long.MAX_VALUE);
    assertEquals(
        RecorderBuffer.MAX_DURATION_MICROS,
        registry.snapshotAndEndInterval().value(TIMES, "max", List.of()),
        RecorderBuffer.MAX_DURATION_MICROS / 100.0);
  }

  @Test
  void eachFamilyKeepsAnOverflowSeriesOnceSlotsAreUsedUp() {
    int allFields = MetricFamilies.ALL.stream().mapToInt(family -> family.fields().size()).sum();
    MetricRegistry registry = new MetricRegistry(2 * allFields);
    for (int i = 0; i < 500; i++) {
      registry.series(MetricFamilies.PRIORITY_WEIGHT, "class", "zone", "tenant" + i);
    }
    assertTrue(registry.rejectedSeriesCount() > 400);
    assertThrows(
        IllegalStateException.class,
        () -> {
          for (int i = 0; i < 4; i++) {
            registry.series(PAIR, "a" + i);
          }
        },
        "the reserved slots are for the families of MetricFamilies");
    for (MetricFamily family : MetricFamilies.ALL) {
      registry.series(
          family, family.labelNames().stream().map(name -> "late").toArray(String[]::new));
    }
    MetricsSnapshot snapshot = registry.snapshotAndEndInterval();
    assertTrue(snapshot.values().length <= 2 * allFields);
    assertThrows(
        IllegalArgumentException.class,
        () -> registry.series(MetricFamilies.PRIORITY_WEIGHT, "too few"));
  }

  @Test
  void countersWrapAround() {
    MetricRegistry registry = new MetricRegistry(4096);
    Series pair = registry.series(PAIR, "a");
    Recorder recorder = registry.newRecorder();
    long ticket = recorder.beginUpdate();
    recorder.add(pair.slot(0), Long.MAX_VALUE);
    recorder.endUpdate(ticket);
    final long before = registry.snapshotAndEndInterval().value(PAIR, "left", List.of("a"));
    ticket = recorder.beginUpdate();
    recorder.add(pair.slot(0), 10);
    recorder.endUpdate(ticket);
    long after = registry.snapshotAndEndInterval().value(PAIR, "left", List.of("a"));
    assertEquals(10, after - before);
    assertTrue(after < 0);
  }
}
