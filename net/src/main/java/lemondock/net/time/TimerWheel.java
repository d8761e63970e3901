package lemondock.net.time;

/**
 * A hierarchical timer wheel (Varghese and Lauck, 1987): scheduling and cancelling take constant
 * time whatever the number of timers, where a heap takes logarithmic time. It has six levels of 64
 * slots; a slot of one level spans the whole level below. Timers due at one tick fire in the order
 * in which they were scheduled. For use by one thread.
 */
public final class TimerWheel {
  private static final int SLOT_BITS = 6;
  private static final int SLOTS_PER_LEVEL = 1 << SLOT_BITS;
  private static final int LEVELS = 6;
  private static final long SPAN_TICKS = 1L << (SLOT_BITS * LEVELS);

  private final long tickMicros;
  private final Entry[][] slots = new Entry[LEVELS][SLOTS_PER_LEVEL];
  private final long[] occupiedSlots = new long[LEVELS];
  private long currentTick;
  private long nextOrder;
  private int size;

  /**
   * Creates a wheel that starts at a given time.
   *
   * @param nowMicros start time, microseconds
   * @param tickMicros resolution: length of a tick, microseconds
   */
  public TimerWheel(long nowMicros, long tickMicros) {
    if (tickMicros <= 0) {
      throw new IllegalArgumentException("tickMicros must be positive: " + tickMicros);
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

  /** One timer; linked in a ring with the other timers of its slot. */
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
   * Schedules a task for the first tick that is after the current one and not before the given time
   * (microseconds).
   */
  public Entry schedule(long atMicros, Runnable task) {
    long dueTick = Math.max(currentTick + 1, Math.floorDiv(atMicros + tickMicros - 1, tickMicros));
    Entry entry = new Entry(task, Math.min(dueTick, currentTick + SPAN_TICKS - 1), nextOrder++);
    place(entry);
    size++;
    return entry;
  }

  /** Cancels a timer; false if it has already fired or was cancelled before. */
  public boolean cancel(Entry entry) {
    if (entry.next == null) {
      return false;
    }
    unlink(entry);
    size--;
    return true;
  }

  /** Number of timers that have neither fired nor been cancelled. */
  public int size() {
    return size;
  }

  /**
   * Fires all timers due at the given time (microseconds), in order of due time. Timers that they
   * schedule fire at a later tick.
   */
  public void advance(long nowMicros) {
    long targetTick = Math.floorDiv(nowMicros, tickMicros);
    while (currentTick < targetTick) {
      long next = nextTick();
      if (next > targetTick) {
        setCurrentTick(targetTick);
        return;
      }
      setCurrentTick(next);
      fireCurrentTick();
    }
  }

  /**
   * The earliest time (microseconds) at which a timer may be due; Long.MAX_VALUE if none is
   * scheduled.
   */
  public long nextDueMicros() {
    long next = nextTick();
    return next == Long.MAX_VALUE ? next : next * tickMicros;
  }

  /** The next tick at which a slot fires or its timers move to a lower level. */
  private long nextTick() {
    long next = Long.MAX_VALUE;
    for (int level = 0; level < LEVELS; level++) {
      if (occupiedSlots[level] != 0) {
        int shift = SLOT_BITS * level;
        int currentSlot = (int) (currentTick >>> shift) & (SLOTS_PER_LEVEL - 1);
        long rotatedSlots = Long.rotateRight(occupiedSlots[level], currentSlot + 1);
        long steps = Long.numberOfTrailingZeros(rotatedSlots) + 1L;
        next = Math.min(next, ((currentTick >>> shift) + steps) << shift);
      }
    }
    return next;
  }

  /**
   * Moves to a tick and cascades the timers of the higher-level slots that begin there. No slot may
   * be due between the current tick and that one.
   */
  private void setCurrentTick(long targetTick) {
    long previousTick = currentTick;
    currentTick = targetTick;
    for (int level = LEVELS - 1; level > 0; level--) {
      int shift = SLOT_BITS * level;
      if (currentTick >>> shift != previousTick >>> shift) {
        cascade(slots[level][(int) (currentTick >>> shift) & (SLOTS_PER_LEVEL - 1)]);
      }
    }
  }

  private void cascade(Entry head) {
    while (head.next != head) {
      Entry entry = head.next;
      unlink(entry);
      place(entry);
    }
  }

  private void fireCurrentTick() {
    Entry head = slots[0][(int) currentTick & (SLOTS_PER_LEVEL - 1)];
    while (head.next != head && head.next.dueTick <= currentTick) {
      Entry entry = head.next;
      unlink(entry);
      size--;
      entry.task.run();
    }
  }

  private void place(Entry entry) {
    long ticksAhead = entry.dueTick - currentTick;
    int level = 0;
    while (level < LEVELS - 1 && ticksAhead >= 1L << (SLOT_BITS * (level + 1))) {
      level++;
    }
    entry.level = level;
    entry.slot = (int) (entry.dueTick >>> (SLOT_BITS * level)) & (SLOTS_PER_LEVEL - 1);
    Entry head = slots[level][entry.slot];
    // a cascaded timer may have been scheduled before timers already in the slot: keep that order
    Entry predecessor = head.previous;
    while (predecessor != head
        && predecessor.dueTick == entry.dueTick
        && predecessor.order > entry.order) {
      predecessor = predecessor.previous;
    }
    entry.previous = predecessor;
    entry.next = predecessor.next;
    predecessor.next.previous = entry;
    predecessor.next = entry;
    occupiedSlots[level] |= 1L << entry.slot;
  }

  private void unlink(Entry entry) {
    entry.previous.next = entry.next;
    entry.next.previous = entry.previous;
    entry.next = null;
    entry.previous = null;
    Entry head = slots[entry.level][entry.slot];
    if (head.next == head) {
      occupiedSlots[entry.level] &= ~(1L << entry.slot);
    }
  }
}
