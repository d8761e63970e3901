package lemondock.dispatch;

/**
 * Puts servers' starts, which lists tell in wall time, on the module's clock. This gateway's wall
 * clock may step at any time, and a server must not be taken for older than it is: it would get
 * more than a cold one bears. So of two wall clocks, the system's and one that went on evenly since
 * the first list, the earlier one counts; and a process that has replaced one of the last list
 * cannot be much older than that list. No I/O and no clock of its own.
 */
final class ServerStartTimes {
  private static final long MICROS_PER_MILLI = 1_000;

  /**
   * How late a list may tell of a start (milliseconds); an age beyond that is the clock's mistake.
   */
  private static final long LATEST_NOTICE = 10_000;

  private static final long NEVER = -1;

  private long now;
  private long wall;
  private long firstNow = NEVER;
  private long firstWall;
  private long heardAt = NEVER;

  /**
   * A list has come at that moment of both clocks (microseconds of the module's, milliseconds since
   * the epoch).
   */
  void clock(long moduleNow, long wallMillis) {
    if (firstNow == NEVER) {
      firstNow = moduleNow;
      firstWall = wallMillis;
    }
    now = moduleNow;
    wall = Math.min(wallMillis, firstWall + (moduleNow - firstNow) / MICROS_PER_MILLI);
  }

  /** The list at hand was discovery's own, not one from before this process. */
  void heard() {
    heardAt = now;
  }

  /**
   * The module's time of a start that was not known before; 0 for long ago. One in the future
   * counts as now. {@code replaces}: the last list had an earlier process of that server.
   */
  long started(long startedMillis, boolean replaces) {
    if (startedMillis <= 0) {
      return 0;
    }
    long age = Math.max(0, wall - startedMillis);
    long sinceHeard = (now - heardAt) / MICROS_PER_MILLI;
    if (replaces && heardAt != NEVER && age > sinceHeard + LATEST_NOTICE) {
      age = sinceHeard;
    }
    return Math.max(0, now - age * MICROS_PER_MILLI);
  }
}
