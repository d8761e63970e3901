package lemondock.net.time;

/**
 * A hierarchical timer wheel (Varghese and Lauck, 1987): scheduling and cancelling take constant
 * time whatever the number of timers, where a heap takes the logarithm. Six levels of 64 slots; a
 * slot of one level spans all of the level below. Timers of one tick fire in the order in which
 * they were set. One thread.
 */
public final class TimerWheel {
  private static final int BITS = 6;
  private static final int SLOTS = 1 << BITS;
  private static final int LEVELS = 6;
  private static final long SPAN = 1L << (BITS * LEVELS);

  private final long resolution;
  private final Entry[][] slots = new Entry[LEVELS][SLOTS];
  private final long[] used = new long[LEVELS];
  private long tick;
  private long sequence;
  private int size;

  /**
   * Makes a wheel that starts at a given moment.
   *
   * @param now microseconds
   * @param resolution microseconds a tick
   */
  public TimerWheel(long now, long resolution) {
    if (resolution <= 0) {
      throw new IllegalArgumentException("a tick must be longer than nothing: " + resolution);
    }
    this.resolution = resolution;
    this.tick = Math.floorDiv(now, resolution);
    for (int level = 0; level < LEVELS; level++) {
      for (int slot = 0; slot < SLOTS; slot++) {
        Entry head = new Entry(null, 0, 0);
        head.next = head;
        head.before = head;
        slots[level][slot] = head;
      }
    }
  }

  /** One timer; lies in a ring with the others of its slot. */
  public static final class Entry {
    private final Runnable task;
    private final long due;
    private final long order;
    private Entry next;
    private Entry before;
    private int level;
    private int slot;

    private Entry(Runnable task, long due, long order) {
      this.task = task;
      this.due = due;
      this.order = order;
    }
  }

  /**
   * Sets a timer for the first tick that is not before the given moment (microseconds), nor the
   * present one.
   */
  public Entry schedule(long at, Runnable task) {
    long due = Math.max(tick + 1, Math.floorDiv(at + resolution - 1, resolution));
    Entry entry = new Entry(task, Math.min(due, tick + SPAN - 1), sequence++);
    place(entry);
    size++;
    return entry;
  }

  /** Drops a timer; false if it has fired or was dropped before. */
  public boolean cancel(Entry entry) {
    if (entry.next == null) {
      return false;
    }
    unlink(entry);
    size--;
    return true;
  }

  /** Timers set and neither fired nor dropped. */
  public int size() {
    return size;
  }

  /**
   * Fires all that is due at the given moment (microseconds), in order of time; what they set fires
   * later.
   */
  public void advance(long now) {
    long target = Math.floorDiv(now, resolution);
    while (tick < target) {
      long next = nextTick();
      if (next > target) {
        moveTo(target);
        return;
      }
      moveTo(next);
      fire();
    }
  }

  /**
   * The moment (microseconds) at which something may be due next; Long.MAX_VALUE if no timer is
   * set.
   */
  public long nextDueMicros() {
    long next = nextTick();
    return next == Long.MAX_VALUE ? next : next * resolution;
  }

  /** The next tick at which a slot fires or its timers move one level down. */
  private long nextTick() {
    long next = Long.MAX_VALUE;
    for (int level = 0; level < LEVELS; level++) {
      if (used[level] != 0) {
        int shift = BITS * level;
        int here = (int) (tick >>> shift) & (SLOTS - 1);
        long ahead = Long.rotateRight(used[level], here + 1);
        long steps = Long.numberOfTrailingZeros(ahead) + 1L;
        next = Math.min(next, ((tick >>> shift) + steps) << shift);
      }
    }
    return next;
  }

  /**
   * Moves to a tick between which and the present one no slot is due, and hands down what its slots
   * hold.
   */
  private void moveTo(long target) {
    long before = tick;
    tick = target;
    for (int level = LEVELS - 1; level > 0; level--) {
      int shift = BITS * level;
      if (tick >>> shift != before >>> shift) {
        handDown(slots[level][(int) (tick >>> shift) & (SLOTS - 1)]);
      }
    }
  }

  private void handDown(Entry head) {
    while (head.next != head) {
      Entry entry = head.next;
      unlink(entry);
      place(entry);
    }
  }

  private void fire() {
    Entry head = slots[0][(int) tick & (SLOTS - 1)];
    while (head.next != head && head.next.due <= tick) {
      Entry entry = head.next;
      unlink(entry);
      size--;
      entry.task.run();
    }
  }

  private void place(Entry entry) {
    long ahead = entry.due - tick;
    int level = 0;
    while (level < LEVELS - 1 && ahead >= 1L << (BITS * (level + 1))) {
      level++;
    }
    entry.level = level;
    entry.slot = (int) (entry.due >>> (BITS * level)) & (SLOTS - 1);
    Entry head = slots[level][entry.slot];
    Entry after =
        head.before; // handed down timers may be older than ones set since: keep the order
    // of setting
    while (after != head && after.due == entry.due && after.order > entry.order) {
      after = after.before;
    }
    entry.before = after;
    entry.next = after.next;
    after.next.before = entry;
    after.next = entry;
    used[level] |= 1L << entry.slot;
  }

  private void unlink(Entry entry) {
    entry.before.next = entry.next;
    entry.next.before = entry.before;
    entry.next = null;
    entry.before = null;
    Entry head = slots[entry.level][entry.slot];
    if (head.next == head) {
      used[entry.level] &= ~(1L << entry.slot);
    }
  }
}
