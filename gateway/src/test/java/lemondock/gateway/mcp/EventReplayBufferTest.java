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

  /** Returns the numbers of the events after the given one; empty if some were evicted. */
  private Optional<List<Long>> eventNumbersAfter(long number) {
    if (!buffer.contains(number)) {
      return Optional.empty();
    }
    List<Long> numbers = new ArrayList<>();
    buffer.replayAfter(number, event -> numbers.add((long) event[0]));
    return Optional.of(numbers);
  }

  /** Appends an event that repeats its own number in each byte. */
  private void append(int length) {
    byte[] event = new byte[length + 1];
    Arrays.fill(event, (byte) buffer.nextNumber());
    buffer.append(event, 1, length);
  }

  @Test
  void replaysEventsAfterGivenNumber() {
    for (int i = 0; i < 5; i++) {
      append(10);
    }
    assertEquals(Optional.of(List.of(3L, 4L, 5L)), eventNumbersAfter(2));
    assertEquals(Optional.of(List.of()), eventNumbersAfter(5));
    assertEquals(Optional.of(List.of(1L, 2L, 3L, 4L, 5L)), eventNumbersAfter(0));
    assertEquals(Optional.empty(), eventNumbersAfter(6));
  }

  @Test
  void evictsOldestSentEventsFirst() {
    for (int i = 0; i < 20; i++) {
      append(10);
      buffer.markSent();
    }
    assertTrue(buffer.sizeBytes() <= 100);
    assertEquals(Optional.empty(), eventNumbersAfter(3));
    assertEquals(Optional.of(List.of(20L)), eventNumbersAfter(19));
  }

  @Test
  void unsentEventsAreKeptAndFillBuffer() {
    append(60);
    assertFalse(buffer.isFull());
    append(60);
    assertTrue(buffer.isFull());
    assertEquals(Optional.of(List.of(1L, 2L)), eventNumbersAfter(0));
    buffer.markSent();
    assertFalse(buffer.isFull());
  }

  /** Compares the buffer with a list, for arbitrary event lengths and times of sending. */
  @Property(tries = 1_000, seed = "20261201")
  void bufferedEventsEqualAppendedEvents(
      @ForAll @Size(max = 60) List<@IntRange(min = 1, max = 140) Integer> eventLengths) {
    buffer = new EventReplayBuffer(100); // a new buffer for each try
    List<byte[]> appended = new ArrayList<>();
    for (int eventLength : eventLengths) {
      append(eventLength);
      byte[] event = new byte[eventLength];
      Arrays.fill(event, (byte) (appended.size() + 1));
      appended.add(event);
      if (eventLength % 3 != 0) {
        buffer.markSent();
      }
      long lastSeenNumber = 0;
      while (!buffer.contains(lastSeenNumber)) {
        lastSeenNumber++;
      }
      List<byte[]> buffered = new ArrayList<>();
      buffer.replayAfter(lastSeenNumber, buffered::add);
      assertEquals(appended.size() - lastSeenNumber, buffered.size());
      for (int i = 0; i < buffered.size(); i++) {
        assertArrayEquals(appended.get((int) lastSeenNumber + i), buffered.get(i));
      }
      assertEquals(buffered.stream().mapToInt(bytes -> bytes.length).sum(), buffer.sizeBytes());
    }
  }
}
