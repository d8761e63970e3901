package lemondock.gateway.mcp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventReplayBufferTest {
  private EventReplayBuffer buffer = new EventReplayBuffer(100);

  /** The numbers of the events after one, empty if they are not all kept. */
  private Optional<List<Long>> after(long number) {
    if (!buffer.contains(number)) {
      return Optional.empty();
    }
    List<Long> numbers = new ArrayList<>();
    buffer.replayAfter(number, event -> numbers.add((long) event[0]));
    return Optional.of(numbers);
  }

  /** Each byte of an event is its number. */
  private void append(int length) {
    byte[] event = new byte[length + 1];
    Arrays.fill(event, (byte) buffer.nextNumber());
    buffer.append(event, 1, length);
  }

  @Test
  void eventsAfterANumberAreReplayed() {
    for (int i = 0; i < 5; i++) {
      append(10);
    }
    assertEquals(Optional.of(List.of(3L, 4L, 5L)), after(2));
    assertEquals(Optional.of(List.of()), after(5));
    assertEquals(Optional.of(List.of(1L, 2L, 3L, 4L, 5L)), after(0));
    assertEquals(Optional.empty(), after(6));
  }

  @Test
  void theOldestSentEventsAreDroppedFirst() {
    for (int i = 0; i < 20; i++) {
      append(10);
      buffer.markSent();
    }
    assertTrue(buffer.sizeBytes() <= 100);
    assertEquals(Optional.empty(), after(3));
    assertEquals(Optional.of(List.of(20L)), after(19));
  }

  @Test
  void unsentEventsAreKeptAndFillTheBuffer() {
    append(60);
    assertFalse(buffer.isFull());
    append(60);
    assertTrue(buffer.isFull());
    assertEquals(Optional.of(List.of(1L, 2L)), after(0));
    buffer.markSent();
    assertFalse(buffer.isFull());
  }

  /** Against a list, over any lengths and any moments of sending. */
  @Property(tries = 1_000, seed = "20261201")
  void keptEventsAreWhatWasAppended(
      @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 140) Integer> steps) {
    buffer = new EventReplayBuffer(100); // each try its own
    List<byte[]> all = new ArrayList<>();
    for (int step : steps) {
      append(step);
      byte[] event = new byte[step];
      Arrays.fill(event, (byte) (all.size() + 1));
      all.add(event);
      if (step % 3 != 0) {
        buffer.markSent();
      }
      long from = 0;
      while (!buffer.contains(from)) {
        from++;
      }
      List<byte[]> kept = new ArrayList<>();
      buffer.replayAfter(from, kept::add);
      assertEquals(all.size() - from, kept.size());
      for (int i = 0; i < kept.size(); i++) {
        assertArrayEquals(all.get((int) from + i), kept.get(i));
      }
      assertEquals(kept.stream().mapToInt(e -> e.length).sum(), buffer.sizeBytes());
    }
  }
}
