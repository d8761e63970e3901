package lemondock.exporter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import lemondock.metrics.Family;
import lemondock.metrics.Field;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The ring of snapshots against a plain list of copies. */
@SuppressWarnings("checkstyle:AvoidEscapedUnicodeCharacters") // Its names are not printable.
class SnapshotRingTest {
  private static final Family ONE =
      Family.values("one", List.of("n"), "", new Field("v", Field.Kind.COUNTER, 0, "1", ""));

  private static Snapshot snapshot(long... values) {
    List<Series> series = new ArrayList<>();
    for (int i = 0; i < values.length; i++) {
      series.add(new Series(i, ONE, List.of("n" + i), i));
    }
    return new Snapshot(series, values);
  }

  @Property(tries = 300, seed = "4711")
  void aCursorReadsWhatAListOfCopiesHolds(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int most) {
    SplittableRandom random = new SplittableRandom(seed);
    SnapshotRing ring = new SnapshotRing(1 << 20, most);
    List<long[]> all = new ArrayList<>();
    SnapshotRing.Cursor[] cursors = {ring.cursor(), ring.cursor(), ring.cursor()};
    long[] next = new long[cursors.length];
    long[] values = new long[1 + random.nextInt(5)];
    for (int step = 0; step < 120; step++) {
      if (random.nextInt(8) == 0) {
        values = Arrays.copyOf(values, values.length + random.nextInt(4));
      }
      for (int i = 0; i < values.length; i++) {
        values[i] =
            switch (random.nextInt(6)) {
              case 0 -> random.nextLong();
              case 1 -> Snapshot.ABSENT;
              case 2 -> values[i] + random.nextInt(1000);
              default -> values[i];
            };
      }
      ring.append(step, snapshot(values.clone()));
      all.add(values.clone());
      for (int c = 0; c < cursors.length; c++) {
        if (random.nextInt(10) == 0) {
          next[c] -= cursors[c].back(random.nextInt(5));
        }
        for (int n = random.nextInt(c + 2); n > 0; n--) {
          long oldest = all.size() - Math.min(most, all.size());
          SnapshotRing.View view = cursors[c].next();
          next[c] = Math.max(next[c], oldest);
          if (view == null) {
            assertEquals(all.size(), next[c]);
          } else {
            assertEquals(next[c], view.number());
            assertEquals(next[c], view.stamp());
            assertArrayEquals(all.get((int) next[c]), view.values());
            assertEquals(view.values().length, view.series().size());
            next[c]++;
          }
        }
      }
    }
  }

  @Test
  void theOldestAreDroppedFirstAndEachDropIsCounted() {
    SnapshotRing ring = new SnapshotRing(1 << 20, 3);
    SnapshotRing.Cursor slow = ring.cursor();
    SnapshotRing.Cursor quick = ring.cursor();
    for (int i = 0; i < 10; i++) {
      ring.append(i, snapshot(i));
      assertEquals(i, quick.next().values()[0]);
    }
    assertEquals(0, quick.dropped());
    assertEquals(7, slow.dropped());
    assertEquals(3, slow.waiting());
    assertEquals(7, slow.next().values()[0]);
    assertEquals(7, slow.dropped());
    slow.keep(1);
    assertEquals(8, slow.dropped());
    assertEquals(9, slow.next().values()[0]);
    assertNull(slow.next());
    assertEquals(2, slow.back(2));
    assertEquals(8, slow.next().values()[0]);
  }

  @Test
  void bytesAreBoundedAndStandingValuesCostNothing() {
    SnapshotRing ring = new SnapshotRing(10_000, 1_000_000);
    long[] values = new long[10_000];
    ring.append(0, snapshot(values.clone()));
    for (int i = 1; i < 20_000; i++) {
      values[i % 10] += 1;
      ring.append(i, snapshot(values.clone()));
      assertTrue(ring.bytes() <= 10_000);
    }
    assertTrue(ring.size() > 2_000, "only " + ring.size() + " snapshots in 10,000 bytes");
  }

  @Test
  void stampsNeverGoBackAndCatchUpWithAClockThatDid() {
    Stamps stamps = new Stamps(3_600_000);
    long wall = 1_000_000_000;
    long last = stamps.next(0, wall);
    assertEquals(wall, last);
    long now = 0;
    wall -= 60_000; // a minute back
    int looks = 0;
    for (; looks < 1_000; looks++) {
      now += 10_000_000;
      wall += 10_000;
      long stamp = stamps.next(now, wall);
      assertTrue(stamp > last, "stamp " + stamp + " after " + last);
      last = stamp;
      if (stamp == wall) {
        break;
      }
    }
    assertTrue(looks >= 11 && looks <= 13, "caught up after " + looks + " looks of 10 s");
    assertEquals(1, stamps.setBack());
    assertEquals(0, stamps.ahead());
    assertEquals(wall + 86_400_000, stamps.next(now + 1, wall + 86_400_000)); // ahead at once
    assertEquals(wall + 5, stamps.next(now + 2, wall + 5)); // too far ahead to wait for: back, once
    assertEquals(2, stamps.setBack());
  }

  @Test
  void namesNeverBecomeOne() {
    assertEquals("card-refund_2", Labels.escape("card-refund_2"));
    assertEquals("a%2Eb", Labels.escape("a.b"));
    assertEquals("a%20b%0Ac", Labels.escape("a b\nc"));
    assertEquals("%25", Labels.escape("%"));
    assertEquals("%", Labels.escape(""));
    assertEquals("%C3%A4", Labels.escape("\u00e4"));
  }
}
