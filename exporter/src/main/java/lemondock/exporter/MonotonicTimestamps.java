package lemondock.exporter;

/**
 * Generates timestamps that neither go back nor repeat, with one exception. Collectors overwrite or
 * reject values that are older than those they have. After the wall clock was set back, timestamps
 * therefore advance from the last one at half the speed of real time until the wall clock has
 * caught up. The exception: if the timestamps' lead over the wall clock exceeds a limit, because
 * the wall clock had been far ahead before it was set back, the next timestamp jumps back to the
 * wall clock, since catching up would take too long. Reads no clock itself. Not thread-safe.
 */
public final class MonotonicTimestamps {
  /**
   * While timestamps are ahead of the wall clock, they advance by one millisecond in this many
   * microseconds of real time.
   */
  private static final long SLEW_MICROS_PER_MILLI = 2_000;

  private final long maxLeadMillis;
  private boolean hasLast;
  private long lastTimestampMillis;
  private long lastMonotonicMicros;
  private long lastWallMillis;
  private long clockSetBackCount;

  /**
   * Creates a source of timestamps.
   *
   * @param maxLeadMillis maximum lead over the wall clock; beyond it the next timestamp jumps back
   *     to the wall clock
   */
  public MonotonicTimestamps(long maxLeadMillis) {
    this.maxLeadMillis = maxLeadMillis;
  }

  /**
   * Generates the next timestamp.
   *
   * @param monotonicMicros time of a monotonic clock in microseconds
   * @param wallMillis time of the wall clock in milliseconds since the epoch
   * @return the timestamp in milliseconds since the epoch
   */
  public long next(long monotonicMicros, long wallMillis) {
    if (!hasLast) {
      hasLast = true;
      lastTimestampMillis = wallMillis;
    } else {
      clockSetBackCount += wallMillis < lastWallMillis ? 1 : 0;
      long elapsedMicros = monotonicMicros - lastMonotonicMicros;
      long slewedMillis = lastTimestampMillis + Math.max(1, elapsedMicros / SLEW_MICROS_PER_MILLI);
      boolean isTooFarAhead = slewedMillis - wallMillis > maxLeadMillis;
      lastTimestampMillis = isTooFarAhead ? wallMillis : Math.max(wallMillis, slewedMillis);
    }
    lastMonotonicMicros = monotonicMicros;
    lastWallMillis = wallMillis;
    return lastTimestampMillis;
  }

  /** The lead of the last timestamp over the wall clock, in milliseconds; at least 0. */
  public long leadMillis() {
    return Math.max(0, lastTimestampMillis - lastWallMillis);
  }

  /** Number of times that the wall clock was found to have been set back. */
  public long clockSetBackCount() {
    return clockSetBackCount;
  }
}
