package lemondock.net.time;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class TimerWheelTest {
  private record DueTimer(long tick, int order) {}

  /**
   * Compares the wheel with a plain heap: the same timers must fire in the same order, whatever is
   * scheduled and cancelled and however far the clock jumps.
   */
  @Property(tries = 300, seed = "20261201")
  void firesInSameOrderAsHeap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long nowMicros = random.nextLong(1L << 40);
    TimerWheel wheel = new TimerWheel(nowMicros, 1000);
    List<Integer> fired = new ArrayList<>();
    List<Integer> expected = new ArrayList<>();
    PriorityQueue<DueTimer> heap =
        new PriorityQueue<>(
            (left, right) ->
                left.tick() != right.tick()
                    ? Long.compare(left.tick(), right.tick())
                    : Integer.compare(left.order(), right.order()));
    List<TimerWheel.Entry> entries = new ArrayList<>();
    List<DueTimer> dueTimers = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      int order = entries.size();
      long dueMicros =
          nowMicros
              + random.nextLong(random.nextBoolean() ? 5_000 : 1L << (10 + random.nextInt(24)));
      entries.add(wheel.schedule(dueMicros, () -> fired.add(order)));
      DueTimer dueTimer =
          new DueTimer(
              Math.max(Math.floorDiv(nowMicros, 1000) + 1, (dueMicros + 999) / 1000), order);
      dueTimers.add(dueTimer);
      heap.add(dueTimer);
      if (random.nextInt(4) == 0) {
        int cancelledIndex = random.nextInt(entries.size());
        assertEquals(
            heap.remove(dueTimers.get(cancelledIndex)), wheel.cancel(entries.get(cancelledIndex)));
      }
      if (random.nextInt(3) == 0) {
        nowMicros += random.nextLong(1L << (8 + random.nextInt(22)));
        wheel.advance(nowMicros);
        while (!heap.isEmpty() && heap.peek().tick() <= nowMicros / 1000) {
          expected.add(heap.poll().order());
        }
        assertEquals(expected, fired);
        assertEquals(heap.size(), wheel.size());
        assertTrue(heap.isEmpty() || wheel.nextDueMicros() <= heap.peek().tick() * 1000);
      }
    }
  }

  @Test
  void timerScheduledByTimerFiresOnLaterTick() {
    TimerWheel wheel = new TimerWheel(0, 1000);
    List<String> fired = new ArrayList<>();
    wheel.schedule(
        5_000,
        () -> {
          fired.add("first");
          wheel.schedule(5_000, () -> fired.add("second"));
        });
    wheel.advance(5_000);
    assertEquals(List.of("first"), fired);
    wheel.advance(6_000);
    assertEquals(List.of("first", "second"), fired);
    assertEquals(Long.MAX_VALUE, wheel.nextDueMicros());
  }

  @Test
  void firedTimerCannotBeCancelled() {
    TimerWheel wheel = new TimerWheel(0, 1000);
    TimerWheel.Entry entry = wheel.schedule(1, () -> {});
    wheel.advance(10_000);
    assertFalse(wheel.cancel(entry));
  }
}
