package lemondock.overload;

/**
 * Detects stalls of the gateway process, by a tick that should run at a fixed interval. From within
 * the process, slow engines and a process that does not run (stopped, swapped out, collecting
 * garbage, without processor time) look alike; this class tells them apart. The engines are not
 * responsible for stalls: their duration is subtracted from the duration of attempts, and timeouts
 * are postponed until the data that arrived during the stall was read. Reads no clock and does no
 * I/O. Not thread-safe. Times are microseconds.
 */
public final class StallMonitor {
  private final long tickMicros;
  private final long minStallMicros;
  private final long graceMicros;
  private long nextTickAtMicros;
  private boolean hasTicked;
  private long totalStallMicros;
  private long graceEndsAtMicros = Long.MIN_VALUE;
  private long stallCount;
  private long longestStallMicros;

  /**
   * Creates a monitor that detects stalls from the first tick on.
   *
   * @param tickMicros interval between two ticks
   * @param minStallMicros smallest delay of a tick that counts as a stall
   * @param graceMicros time after a stall for reading the data that is waiting at the sockets
   */
  public StallMonitor(long tickMicros, long minStallMicros, long graceMicros) {
    this.tickMicros = tickMicros;
    this.minStallMicros = minStallMicros;
    this.graceMicros = graceMicros;
  }

  /** Records a tick and returns the time at which the next one is due. */
  public long onTick(long nowMicros) {
    detectStall(nowMicros);
    hasTicked = true;
    nextTickAtMicros = nowMicros + tickMicros;
    return nextTickAtMicros;
  }

  /**
   * Must be called before any timeout is evaluated: the first task after a stall, which need not be
   * the tick, has to detect it. A later tick does not count the same stall again.
   */
  public void detectStall(long nowMicros) {
    long tickDelayMicros = hasTicked ? nowMicros - nextTickAtMicros : 0;
    if (tickDelayMicros >= minStallMicros) {
      totalStallMicros += tickDelayMicros;
      stallCount++;
      longestStallMicros = Math.max(longestStallMicros, tickDelayMicros);
      graceEndsAtMicros = nowMicros + graceMicros;
      nextTickAtMicros = nowMicros;
    }
  }

  /** Total duration of the stalls since the start; meant for computing differences. */
  public long totalStallMicros() {
    return totalStallMicros;
  }

  /** Time by which timeouts must be postponed; 0 if they may be evaluated now. */
  public long remainingGraceMicros(long nowMicros) {
    return graceEndsAtMicros > nowMicros ? graceEndsAtMicros - nowMicros : 0;
  }

  /** Number of stalls since the start. */
  public long stallCount() {
    return stallCount;
  }

  /** Duration of the longest stall since the start. */
  public long longestStallMicros() {
    return longestStallMicros;
  }
}
