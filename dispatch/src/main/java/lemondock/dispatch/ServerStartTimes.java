package lemondock.dispatch;

/**
 * Converts the start times of servers, which endpoint lists give in wall-clock time, to the
 * router's monotonic clock. This gateway's wall clock may step at any time, and a server must not
 * be taken for older than it is: it would get more load than a server in slow start can bear. So of
 * two wall clocks, the system's and one that advances steadily since the first list, the earlier
 * one counts; and a process that has replaced one of the last list cannot be much older than that
 * list. Does no I/O and reads no clock. Loop thread only.
 */
final class ServerStartTimes {
  private static final long MICROS_PER_MILLI = 1_000;

  /** How late a list may report a start; an age beyond that is an error of the wall clock. */
  private static final long LATEST_REPORT_MILLIS = 10_000;

  private static final long NEVER = -1;

  private long nowMicros;
  private long wallMillis;
  private long firstNowMicros = NEVER;
  private long firstWallMillis;
  private long lastListAtMicros = NEVER;

  /** A list has come at that moment of the router's clock and of the system's wall clock. */
  void setClocks(long nowMicros, long systemWallMillis) {
    if (firstNowMicros == NEVER) {
      firstNowMicros = nowMicros;
      firstWallMillis = systemWallMillis;
    }
    this.nowMicros = nowMicros;
    long steadyWallMillis = firstWallMillis + (nowMicros - firstNowMicros) / MICROS_PER_MILLI;
    wallMillis = Math.min(systemWallMillis, steadyWallMillis);
  }

  /** The current list came from discovery, not from the cache of an earlier process. */
  void listReceived() {
    lastListAtMicros = nowMicros;
  }

  /**
   * The router's time of a start that was not known before, in microseconds; 0 for long ago. A
   * start in the future counts as now.
   *
   * @param replacesProcess whether the last list had an earlier process of that server
   */
  long toRouterMicros(long startedAtMillis, boolean replacesProcess) {
    if (startedAtMillis <= 0) {
      return 0;
    }
    long ageMillis = Math.max(0, wallMillis - startedAtMillis);
    long sinceLastListMillis = (nowMicros - lastListAtMicros) / MICROS_PER_MILLI;
    if (replacesProcess
        && lastListAtMicros != NEVER
        && ageMillis > sinceLastListMillis + LATEST_REPORT_MILLIS) {
      ageMillis = sinceLastListMillis;
    }
    return Math.max(0, nowMicros - ageMillis * MICROS_PER_MILLI);
  }
}
