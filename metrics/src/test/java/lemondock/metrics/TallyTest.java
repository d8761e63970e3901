package lemondock.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Counting by threads and merging by a snapshot. */
class TallyTest {
  private static final Family PAIR =
      Family.values(
          "pair",
          List.of("who"),
          "two that move together",
          new Field("left", Field.Kind.COUNTER, 0, "1", ""),
          new Field("right", Field.Kind.COUNTER, 0, "1", ""));
  private static final Family LEVEL =
      Family.values("level", List.of(), "a gauge", new Field("now", Field.Kind.GAUGE, 0, "1", ""));
  private static final Family TIMES = Family.times("times", List.of(), "times");

  @Test
  void countersOfAllThreadsAddUpAndGaugesAreSummed() {
    Tally tally = new Tally(4096);
    Series pair = tally.series(PAIR, "a");
    Series level = tally.series(LEVEL);
    Recorder one = tally.recorder();
    Recorder two = tally.recorder();
    one.count(pair.slot(0));
    two.count(pair.slot(0));
    for (int value : new int[] {7, 3}) {
      long ticket = one.enter();
      one.set(level.slot(0), value);
      one.exit(ticket);
    }
    long ticket = two.enter();
    two.set(level.slot(0), 10);
    two.exit(ticket);
    assertEquals(2, tally.snapshot(true).value(PAIR, "left", List.of("a")));
    one.count(pair.slot(0));
    Snapshot later = tally.snapshot(true);
    assertEquals(3, later.value(PAIR, "left", List.of("a")));
    assertEquals(13, later.value(LEVEL, "now", List.of()));
  }

  @Test
  void aSnapshotSeesAGroupWholeOrNotAtAllHoweverItRaces() throws InterruptedException {
    Tally tally = new Tally(8192);
    Series near = tally.series(PAIR, "near");
    List<Series> between = new ArrayList<>();
    for (int i = 0; i < 1_500; i++) { // so that the group lies in two parts of the slots
      between.add(tally.series(PAIR, "between" + i));
    }
    Series far = tally.series(PAIR, "far");
    Series times = tally.series(TIMES);
    Recorder recorder = tally.recorder();
    AtomicBoolean stop = new AtomicBoolean();
    Thread writer =
        new Thread(
            () -> {
              while (!stop.get()) {
                long ticket = recorder.enter();
                recorder.add(near.slot(0), 1);
                recorder.add(far.slot(1), 1);
                recorder.record(times, 5);
                recorder.exit(ticket);
              }
            });
    writer.start();
    long last = 0;
    for (int i = 0; i < 2_000; i++) {
      Snapshot s = tally.snapshot(true);
      long left = s.value(PAIR, "left", List.of("near"));
      assertEquals(left, s.value(PAIR, "right", List.of("far")), "torn at look " + i);
      assertEquals(left, s.value(TIMES, "count", List.of()));
      assertEquals(5 * left, s.value(TIMES, "sum", List.of()));
      assertTrue(left >= last);
      last = left;
    }
    stop.set(true);
    writer.join();
    assertTrue(last > 0);
  }

  @Test
  void percentilesAreOfTheIntervalAndCountsOfTheLife() {
    Tally tally = new Tally(4096);
    Series times = tally.series(TIMES);
    Recorder recorder = tally.recorder();
    for (int i = 1; i <= 1000; i++) {
      recorder.time(times, i * 1_000);
    }
    Snapshot look = tally.snapshot(false);
    assertEquals(500_000, look.value(TIMES, "p50", List.of()), 5_000);
    recorder.time(times, 2_000_000); // a look that ends no interval keeps what was seen before
    Snapshot first = tally.snapshot(true);
    assertEquals(990_000, first.value(TIMES, "p99", List.of()), 10_000);
    assertEquals(2_000_000, first.value(TIMES, "max", List.of()), 20_000);
    assertEquals(1001, first.value(TIMES, "count", List.of()));
    recorder.time(times, 50);
    Snapshot second = tally.snapshot(true);
    assertEquals(50, second.value(TIMES, "p999", List.of()));
    assertEquals(1002, second.value(TIMES, "count", List.of()));
    Snapshot quiet = tally.snapshot(true);
    assertEquals(Snapshot.ABSENT, quiet.value(TIMES, "p50", List.of()));
    recorder.time(times, -5);
    recorder.time(times, Long.MAX_VALUE);
    assertEquals(
        Recorder.LONGEST,
        tally.snapshot(true).value(TIMES, "max", List.of()),
        Recorder.LONGEST / 100.0);
  }

  @Test
  void aFloodOfNamesEndsInOther() {
    BoundedNames names = new BoundedNames(List.of("known"), 2);
    assertEquals("a", names.label("a"));
    assertEquals("b", names.label("b"));
    for (int i = 0; i < 1_000; i++) {
      assertEquals(BoundedNames.OTHER, names.label("flood" + i));
    }
    assertEquals("known", names.label("known"));
    assertEquals("a", names.label("a"));
    assertEquals(BoundedNames.OTHER, names.label(""));
    assertEquals(BoundedNames.OTHER, new BoundedNames(Set.of(), 9).label("x".repeat(65)));
    assertEquals(1_001, names.turnedAway());
  }

  @Test
  void whereNoSlotIsLeftEachFamilyStillHasItsRowForOthers() {
    int all = Metrics.ALL.stream().mapToInt(f -> f.fields().size()).sum();
    Tally tally = new Tally(2 * all);
    for (int i = 0; i < 500; i++) {
      tally.series(Metrics.WORTH, "class", "zone", "tenant" + i);
    }
    assertTrue(tally.refused() > 400);
    assertThrows(
        IllegalStateException.class,
        () -> {
          for (int i = 0; i < 4; i++) {
            tally.series(PAIR, "a" + i);
          }
        },
        "what is kept back is for the families of Metrics");
    for (Family f : Metrics.ALL) {
      tally.series(f, f.dimensions().stream().map(d -> "late").toArray(String[]::new));
    }
    Snapshot s = tally.snapshot(true);
    assertTrue(s.values().length <= 2 * all);
    assertThrows(IllegalArgumentException.class, () -> tally.series(Metrics.WORTH, "too few"));
  }

  @Test
  void countersWrapAsTheirProtocolsExpect() {
    Tally tally = new Tally(4096);
    Series pair = tally.series(PAIR, "a");
    Recorder recorder = tally.recorder();
    long ticket = recorder.enter();
    recorder.add(pair.slot(0), Long.MAX_VALUE);
    recorder.exit(ticket);
    final long before = tally.snapshot(true).value(PAIR, "left", List.of("a"));
    ticket = recorder.enter();
    recorder.add(pair.slot(0), 10);
    recorder.exit(ticket);
    long after = tally.snapshot(true).value(PAIR, "left", List.of("a"));
    assertEquals(10, after - before);
    assertTrue(after < 0);
  }

  @Test
  void valuesAreWrittenAsExactDecimals() {
    Field worth = new Field("worth", Field.Kind.COUNTER, 6, "worth", "");
    long[] values = {0, 1_000_000, 1_500_000, 1, -2_250_000, -1, 123_456_789_012L};
    String[] texts = {"0", "1", "1.5", "0.000001", "-2.25", "-0.000001", "123456.789012"};
    for (int i = 0; i < values.length; i++) {
      StringBuilder text = new StringBuilder();
      worth.append(values[i], text);
      assertEquals(texts[i], text.toString());
    }
  }

  @Test
  void micrometerSeesTheTallyAndTheTallyItsGauges() {
    Tally tally = new Tally(4096);
    Series pair = tally.series(PAIR, "a");
    tally.recorder().count(pair.slot(1));
    SimpleMeterRegistry registry = new SimpleMeterRegistry();
    MeterView view = new MeterView();
    view.bindTo(registry);
    view.show(tally.snapshot(true));
    assertEquals(1, registry.get("lemondock.pair.right").tag("who", "a").functionCounter().count());
    SimpleMeterRegistry process = new SimpleMeterRegistry();
    io.micrometer.core.instrument.Gauge.builder("odd", () -> Double.POSITIVE_INFINITY)
        .register(process);
    List<String> heard = new ArrayList<>();
    MeterView.gauges(process, (name, value) -> heard.add(name + "=" + value));
    assertEquals(List.of("odd=Infinity"), heard);
  }
}
