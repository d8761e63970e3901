package lemondock.faultinjection;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The times in which something was not well, for whoever judges by what happened meanwhile.
 * Thread-safe.
 */
final class DisturbanceLog {
  private final List<Trouble> all = new CopyOnWriteArrayList<>();

  private static final class Trouble {
    private final long began = MonotonicClock.now();
    private volatile long ended = Long.MAX_VALUE;
  }

  /** From now on it is not well, until {@link #end}. */
  void begin() {
    all.add(new Trouble());
  }

  /** Something short went wrong just now. */
  void moment() {
    Trouble now = new Trouble();
    now.ended = now.began;
    all.add(now);
  }

  /** All is well again. */
  void end() {
    long now = MonotonicClock.now();
    all.forEach(trouble -> trouble.ended = Math.min(trouble.ended, now));
  }

  boolean noneBetween(long from, long until) {
    return all.stream().noneMatch(trouble -> trouble.began <= until && trouble.ended >= from);
  }
}
