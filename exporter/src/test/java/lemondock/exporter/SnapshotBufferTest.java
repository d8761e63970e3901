package lemondock.exporter;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** The limits of the buffer, and its contents compared with a plain list of copies. */
class SnapshotBufferTest {
  private static final MetricFamily FAMILY =
      MetricFamily.ofFields(
          "one", List.of("n"), "", new MetricField("v", MetricField.Kind.COUNTER, 0, "1", ""));

  private static MetricsSnapshot snapshot(long... values) {
    List<Series> series = new ArrayList<>();
    for (int i = 0; i < values.length; i++) {
      series.add(new Series(i, FAMILY, List.of("n" + i), i));
    }
    return new MetricsSnapshot(series, values);
  }

  @Property(tries = 300, seed = "4711")
  void cursorReadsSameSnapshotsAsListOfCopies(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int maxSnapshots) {
    SplittableRandom random = new SplittableRandom(seed);
    SnapshotBuffer buffer = new SnapshotBuffer(1 << 20, maxSnapshots);
    List<long[]> appendedValues = new ArrayList<>();
    SnapshotBuffer.Cursor[] cursors = {buffer.newCursor(), buffer.newCursor(), buffer.newCursor()};
    long[] nextIndexes = new long[cursors.length];
    long[] values = new long[1 + random.nextInt(5)];
    for (int step = 0; step < 120; step++) {
      if (random.nextInt(8) == 0) {
        values = Arrays.copyOf(values, values.length + random.nextInt(4));
      }
      for (int i = 0; i < values.length; i++) {
        values[i] =
            switch (random.nextInt(6)) {
              case 0 -> random.nextLong();
              case 1 -> MetricsSnapshot.NO_VALUE;
              case 2 -> values[i] + random.nextInt(1000);
              default -> values[i];
            };
      }
      buffer.append(step, snapshot(values.clone()));
      appendedValues.add(values.clone());
      for (int cursorIndex = 0; cursorIndex < cursors.length; cursorIndex++) {
        if (random.nextInt(10) == 0) {
          nextIndexes[cursorIndex] -= cursors[cursorIndex].rewind(random.nextInt(5));
        }
        for (int reads = random.nextInt(cursorIndex + 2); reads > 0; reads--) {
          long oldestIndex = appendedValues.size() - Math.min(maxSnapshots, appendedValues.size());
          Optional<BufferedSnapshot> read = cursors[cursorIndex].next();
          nextIndexes[cursorIndex] = Math.max(nextIndexes[cursorIndex], oldestIndex);
          if (read.isEmpty()) {
            assertEquals(appendedValues.size(), nextIndexes[cursorIndex]);
          } else {
            assertEquals(nextIndexes[cursorIndex], read.get().sequenceNumber());
            assertEquals(nextIndexes[cursorIndex], read.get().timestampMillis());
            assertArrayEquals(
                appendedValues.get((int) nextIndexes[cursorIndex]), read.get().values());
            assertEquals(read.get().values().length, read.get().series().size());
            nextIndexes[cursorIndex]++;
          }
        }
      }
    }
  }

  @Test
  void dropsOldestSnapshotsFirstAndCountsThem() {
    SnapshotBuffer buffer = new SnapshotBuffer(1 << 20, 3);
    SnapshotBuffer.Cursor slow = buffer.newCursor();
    SnapshotBuffer.Cursor fast = buffer.newCursor();
    for (int i = 0; i < 10; i++) {
      buffer.append(i, snapshot(i));
      assertEquals(i, fast.next().orElseThrow().values()[0]);
    }
    assertEquals(0, fast.droppedCount());
    assertEquals(7, slow.droppedCount());
    assertEquals(3, slow.pendingCount());
    assertEquals(7, slow.next().orElseThrow().values()[0]);
    assertEquals(7, slow.droppedCount());
    slow.dropOldestBeyond(1);
    assertEquals(8, slow.droppedCount());
    assertEquals(9, slow.next().orElseThrow().values()[0]);
    assertEquals(Optional.empty(), slow.next());
    assertEquals(2, slow.rewind(2));
    assertEquals(8, slow.next().orElseThrow().values()[0]);
  }

  @Test
  void boundsBytesAndStoresNothingForUnchangedValues() {
    SnapshotBuffer buffer = new SnapshotBuffer(10_000, 1_000_000);
    long[] values = new long[10_000];
    buffer.append(0, snapshot(values.clone()));
    for (int i = 1; i < 20_000; i++) {
      values[i % 10] += 1;
      buffer.append(i, snapshot(values.clone()));
      assertTrue(buffer.byteCount() <= 10_000);
    }
    assertTrue(buffer.size() > 2_000, "only " + buffer.size() + " snapshots in 10,000 bytes");
  }
}
