package lemondock.gateway.mcp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class EventReplayBufferTest {
  private EventReplayBuffer log = new EventReplayBuffer(100);

  private List<Long> after(long number) {
    if (!log.contains(number)) {
      return null;
    }
    List<Long> numbers = new ArrayList<>();
    log.replayAfter(number, event -> numbers.add((long) event[0]));
    return numbers;
  }

  /** Each byte of an event is its number. */
  private void append(int length) {
    byte[] event = new byte[length + 1];
    Arrays.fill(event, (byte) log.nextNumber());
    log.append(event, 1, length);
  }

  @Test
  void whatFollowsAnEventIsKept() {
    for (int i = 0; i < 5; i++) {
      append(10);
    }
    assertEquals(List.of(3L, 4L, 5L), after(2));
    assertEquals(List.of(), after(5));
    assertEquals(List.of(1L, 2L, 3L, 4L, 5L), after(0));
    assertNull(after(6));
  }

  @Test
  void theOldestSentGoFirst() {
    for (int i = 0; i < 20; i++) {
      append(10);
      log.markSent();
    }
    assertTrue(log.sizeBytes() <= 100);
    assertNull(after(3));
    assertEquals(List.of(20L), after(19));
  }

  @Test
  void whatNobodyTookIsKeptAndSaysStop() {
    append(60);
    assertFalse(log.isFull());
    append(60);
    assertTrue(log.isFull());
    assertEquals(List.of(1L, 2L), after(0));
    log.markSent();
    assertFalse(log.isFull());
  }

  /** Against a list, over any lengths and any moments of sending. */
  @Property(tries = 1_000, seed = "20261201")
  void whatIsKeptIsWhatWasPutIn(
      @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 140) Integer> steps) {
    log = new EventReplayBuffer(100); // each try its own
    List<byte[]> all = new ArrayList<>();
    for (int step : steps) {
      append(step);
      byte[] event = new byte[step];
      Arrays.fill(event, (byte) (all.size() + 1));
      all.add(event);
      if (step % 3 != 0) {
        log.markSent();
      }
      long from = 0;
      while (!log.contains(from)) {
        from++;
      }
      List<byte[]> kept = new ArrayList<>();
      log.replayAfter(from, kept::add);
      assertEquals(all.size() - from, kept.size());
      for (int i = 0; i < kept.size(); i++) {
        assertArrayEquals(all.get((int) from + i), kept.get(i));
      }
      assertEquals(kept.stream().mapToInt(e -> e.length).sum(), log.sizeBytes());
    }
  }
}
