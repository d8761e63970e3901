package lemondock.net.time;

/**
 * A hierarchical timer wheel (Varghese and Lauck, 1987): scheduling and cancelling take constant
 * time whatever the number of timers, where a heap takes the logarithm. Six levels of 64 slots; a
 * slot of one level spans all of the level below. Timers of one tick fire in the order in which
 * they were set. For one thread.
 */
public final class TimerWheel {
  private static final int SLOT_BITS = 6;
  private static final int SLOTS_PER_LEVEL = 1 << SLOT_BITS;
  private static final int LEVELS = 6;
  private static final long SPAN_TICKS = 1L << (SLOT_BITS * LEVELS);

  private final long tickMicros;
  private final Entry[][] slots = new Entry[LEVELS][SLOTS_PER_LEVEL];
  private final long[] usedSlots = new long[LEVELS];
  private long currentTick;
  private long nextOrder;
  private int size;

  /**
   * Makes a wheel that starts at a given moment.
   *
   * @param nowMicros the moment, microseconds
   * @param tickMicros resolution: length of a tick, microseconds
   */
  public TimerWheel(long nowMicros, long tickMicros) {
    if (tickMicros <= 0) {
      throw new IllegalArgumentException("a tick must be longer than nothing: " + tickMicros);
    }
    this.tickMicros = tickMicros;
    this.currentTick = Math.floorDiv(nowMicros, tickMicros);
    for (int level = 0; level < LEVELS; level++) {
      for (int slot = 0; slot < SLOTS_PER_LEVEL; slot++) {
        Entry head = new Entry(null, 0, 0);
        head.next = head;
        head.previous = head;
        slots[level][slot] = head;
      }
    }
  }

  /** One timer; lies in a ring with the others of its slot. */
  public static final class Entry {
    private final Runnable task;
    private final long dueTick;
    private final long order;
    private Entry next;
    private Entry previous;
    private int level;
    private int slot;

    private Entry(Runnable task, long dueTick, long order) {
      this.task = task;
      this.dueTick = dueTick;
      this.order = order;
    }
  }

  /**
   * Sets a timer for the first tick that is not before the given moment (microseconds), nor the
   * present one.
   */
  public Entry schedule(long atMicros, Runnable task) {
    long dueTick = Math.max(currentTick + 1, Math.floorDiv(atMicros + tickMicros - 1, tickMicros));
    Entry entry = new Entry(task, Math.min(dueTick, currentTick + SPAN_TICKS - 1), nextOrder++);
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
  public void advance(long nowMicros) {
    long targetTick = Math.floorDiv(nowMicros, tickMicros);
    while (currentTick < targetTick) {
      long next = nextTick();
      if (next > targetTick) {
        moveTo(targetTick);
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
    return next == Long.MAX_VALUE ? next : next * tickMicros;
  }

  /** The next tick at which a slot fires or its timers move one level down. */
  private long nextTick() {
    long next = Long.MAX_VALUE;
    for (int level = 0; level < LEVELS; level++) {
      if (usedSlots[level] != 0) {
        int shift = SLOT_BITS * level;
        int here = (int) (currentTick >>> shift) & (SLOTS_PER_LEVEL - 1);
        long ahead = Long.rotateRight(usedSlots[level], here + 1);
        long steps = Long.numberOfTrailingZeros(ahead) + 1L;
        next = Math.min(next, ((currentTick >>> shift) + steps) << shift);
      }
    }
    return next;
  }

  /**
   * Moves to a tick between which and the present one no slot is due, and hands down what its slots
   * hold.
   */
  private void moveTo(long targetTick) {
    long previousTick = currentTick;
    currentTick = targetTick;
    for (int level = LEVELS - 1; level > 0; level--) {
      int shift = SLOT_BITS * level;
      if (currentTick >>> shift != previousTick >>> shift) {
        handDown(slots[level][(int) (currentTick >>> shift) & (SLOTS_PER_LEVEL - 1)]);
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
    Entry head = slots[0][(int) currentTick & (SLOTS_PER_LEVEL - 1)];
    while (head.next != head && head.next.dueTick <= currentTick) {
      Entry entry = head.next;
      unlink(entry);
      size--;
      entry.task.run();
    }
  }

  private void place(Entry entry) {
    long ahead = entry.dueTick - currentTick;
    int level = 0;
    while (level < LEVELS - 1 && ahead >= 1L << (SLOT_BITS * (level + 1))) {
      level++;
    }
    entry.level = level;
    entry.slot = (int) (entry.dueTick >>> (SLOT_BITS * level)) & (SLOTS_PER_LEVEL - 1);
    Entry head = slots[level][entry.slot];
    // timers that were handed down may be older than ones set since: keep the order of setting
    Entry after = head.previous;
    while (after != head && after.dueTick == entry.dueTick && after.order > entry.order) {
      after = after.previous;
    }
    entry.previous = after;
    entry.next = after.next;
    after.next.previous = entry;
    after.next = entry;
    usedSlots[level] |= 1L << entry.slot;
  }

  private void unlink(Entry entry) {
    entry.previous.next = entry.next;
    entry.next.previous = entry.previous;
    entry.next = null;
    entry.previous = null;
    Entry head = slots[entry.level][entry.slot];
    if (head.next == head) {
      usedSlots[entry.level] &= ~(1L << entry.slot);
    }
  }
}
