package lemondock.dispatch;

/**
 * Converts the start times of servers from the wall-clock time of endpoint lists to the router's
 * monotonic clock. This gateway's wall clock may step at any time, but a server must not appear
 * older than it is, because it would receive more load than a server in slow start can handle.
 * Therefore the earlier one of two wall clocks is used: the system's, and one that has advanced
 * steadily since the first list. In addition, a process that has replaced a process of the last
 * list cannot be much older than that list. Does no I/O and reads no clock. Loop thread only.
 */
final class ServerStartTimes {
  private static final long MICROS_PER_MILLI = 1_000;

  /** Longest plausible delay between a start and its listing; beyond it the wall clock is wrong. */
  private static final long MAX_LISTING_DELAY_MILLIS = 10_000;

  private static final long NEVER = -1;

  private long nowMicros;
  private long wallMillis;
  private long firstNowMicros = NEVER;
  private long firstWallMillis;
  private long lastListAtMicros = NEVER;

  /** Sets the times of the router's clock and of the system's wall clock for the current list. */
  void setClocks(long nowMicros, long systemWallMillis) {
    if (firstNowMicros == NEVER) {
      firstNowMicros = nowMicros;
      firstWallMillis = systemWallMillis;
    }
    this.nowMicros = nowMicros;
    long steadyWallMillis = firstWallMillis + (nowMicros - firstNowMicros) / MICROS_PER_MILLI;
    wallMillis = Math.min(systemWallMillis, steadyWallMillis);
  }

  /**
   * Records that the current list came from discovery, not from the cache of an earlier process.
   */
  void listReceived() {
    lastListAtMicros = nowMicros;
  }

  /**
   * Converts a start time that was not known before to microseconds of the router's clock; 0 means
   * long ago. A start time in the future is converted to the current time.
   *
   * @param startedAtMillis milliseconds since the epoch; 0 or less if unknown or long ago
   * @param replacesProcess whether the last list had an earlier process of this server
   */
  long toRouterMicros(long startedAtMillis, boolean replacesProcess) {
    if (startedAtMillis <= 0) {
      return 0;
    }
    long ageMillis = Math.max(0, wallMillis - startedAtMillis);
    long sinceLastListMillis = (nowMicros - lastListAtMicros) / MICROS_PER_MILLI;
    if (replacesProcess
        && lastListAtMicros != NEVER
        && ageMillis > sinceLastListMillis + MAX_LISTING_DELAY_MILLIS) {
      ageMillis = sinceLastListMillis;
    }
    return Math.max(0, nowMicros - ageMillis * MICROS_PER_MILLI);
  }
}
