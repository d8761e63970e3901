package lemondock.exporter;

/**
 * Timestamps that never go back and never repeat. Collectors overwrite or reject what is older than
 * what they have; so after the wall clock was set back, timestamps advance from the last one at
 * half the speed of real time until the wall clock has caught up. If that would take too long,
 * because the clock had been far ahead before, they follow the wall clock back, once. Reads no
 * clock itself. Not thread-safe.
 */
public final class MonotonicTimestamps {
  /** Microseconds of real time for each millisecond by which a timestamp ahead advances. */
  private static final long SLEW_MICROS_PER_MILLI = 2_000;

  private final long maxLeadMillis;
  private boolean hasLast;
  private long lastTimestampMillis;
  private long lastMonotonicMicros;
  private long lastWallMillis;
  private long clockSetBackCount;

  /**
   * Makes a source of timestamps.
   *
   * @param maxLeadMillis beyond this lead over the wall clock timestamps follow it back
   */
  public MonotonicTimestamps(long maxLeadMillis) {
    this.maxLeadMillis = maxLeadMillis;
  }

  /**
   * The next timestamp.
   *
   * @param monotonicMicros microseconds of a clock that never goes back
   * @param wallMillis the wall clock in milliseconds since the epoch
   * @return milliseconds since the epoch
   */
  public long next(long monotonicMicros, long wallMillis) {
    if (!hasLast) {
      hasLast = true;
      lastTimestampMillis = wallMillis;
    } else {
      clockSetBackCount += wallMillis < lastWallMillis ? 1 : 0;
      long elapsedMicros = monotonicMicros - lastMonotonicMicros;
      long slewed = lastTimestampMillis + Math.max(1, elapsedMicros / SLEW_MICROS_PER_MILLI);
      boolean isTooFarAhead = slewed - wallMillis > maxLeadMillis;
      lastTimestampMillis = isTooFarAhead ? wallMillis : Math.max(wallMillis, slewed);
    }
    lastMonotonicMicros = monotonicMicros;
    lastWallMillis = wallMillis;
    return lastTimestampMillis;
  }

  /** By how many milliseconds the last timestamp was ahead of the wall clock. */
  public long leadMillis() {
    return Math.max(0, lastTimestampMillis - lastWallMillis);
  }

  /** How often the wall clock was seen to go back. */
  public long clockSetBackCount() {
    return clockSetBackCount;
  }
}
