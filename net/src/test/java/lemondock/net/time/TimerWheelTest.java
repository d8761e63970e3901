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
  private record Due(long tick, int order) {}

  /**
   * Against a plain heap: the same timers in the same order, whatever is set, dropped and jumped
   * over.
   */
  @Property(tries = 300, seed = "20261201")
  void firesLikeAHeap(@ForAll long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    long now = random.nextLong(1L << 40);
    TimerWheel wheel = new TimerWheel(now, 1000);
    List<Integer> fired = new ArrayList<>();
    List<Integer> wanted = new ArrayList<>();
    PriorityQueue<Due> heap =
        new PriorityQueue<>(
            (a, b) ->
                a.tick() != b.tick()
                    ? Long.compare(a.tick(), b.tick())
                    : Integer.compare(a.order(), b.order()));
    List<TimerWheel.Entry> entries = new ArrayList<>();
    List<Due> dues = new ArrayList<>();
    for (int step = 0; step < 200; step++) {
      int order = entries.size();
      long at =
          now + random.nextLong(random.nextBoolean() ? 5_000 : 1L << (10 + random.nextInt(24)));
      entries.add(wheel.schedule(at, () -> fired.add(order)));
      Due due = new Due(Math.max(Math.floorDiv(now, 1000) + 1, (at + 999) / 1000), order);
      dues.add(due);
      heap.add(due);
      if (random.nextInt(4) == 0) {
        int victim = random.nextInt(entries.size());
        assertEquals(heap.remove(dues.get(victim)), wheel.cancel(entries.get(victim)));
      }
      if (random.nextInt(3) == 0) {
        now += random.nextLong(1L << (8 + random.nextInt(22)));
        wheel.advance(now);
        while (!heap.isEmpty() && heap.peek().tick() <= now / 1000) {
          wanted.add(heap.poll().order());
        }
        assertEquals(wanted, fired);
        assertEquals(heap.size(), wheel.size());
        assertTrue(heap.isEmpty() || wheel.nextDueMicros() <= heap.peek().tick() * 1000);
      }
    }
  }

  @Test
  void aTimerSetByATimerFiresLater() {
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
  void aFiredTimerCannotBeDropped() {
    TimerWheel wheel = new TimerWheel(0, 1000);
    TimerWheel.Entry entry = wheel.schedule(1, () -> {});
    wheel.advance(10_000);
    assertFalse(wheel.cancel(entry));
  }
}
