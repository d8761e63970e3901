package lemondock.overload;

/**
 * Detects that the gateway process itself did not run, by a tick that should run at a fixed pace.
 * It keeps two things apart that look alike from within: engines that are slow, and a process that
 * did not run (stopped, swapped out, collecting garbage, starved of processors). Stalled time is
 * nobody's fault: it is taken off the duration of attempts, and time-outs are postponed until what
 * arrived during the stall was read. No clock, no I/O; one thread. Times are microseconds.
 */
public final class StallMonitor {
  private final long tickMicros;
  private final long minStallMicros;
  private final long graceMicros;
  private long nextTickAt;
  private boolean ticking;
  private long totalStallMicros;
  private long graceEndsAt = Long.MIN_VALUE;
  private long stallCount;
  private long longestStallMicros;

  /**
   * Makes one that begins with the first tick.
   *
   * @param tickMicros time between two ticks
   * @param minStallMicros smallest delay of a tick that counts as a stall
   * @param graceMicros time after a stall in which what waits at the sockets is read
   */
  public StallMonitor(long tickMicros, long minStallMicros, long graceMicros) {
    this.tickMicros = tickMicros;
    this.minStallMicros = minStallMicros;
    this.graceMicros = graceMicros;
  }

  /** The tick runs; returns the time at which the next one is due. */
  public long onTick(long nowMicros) {
    detectStall(nowMicros);
    ticking = true;
    nextTickAt = nowMicros + tickMicros;
    return nextTickAt;
  }

  /**
   * To be called before anything is judged by time: a stall is detected by whatever runs first
   * after it, which need not be the tick; the tick then finds that the stall was counted.
   */
  public void detectStall(long nowMicros) {
    long late = ticking ? nowMicros - nextTickAt : 0;
    if (late >= minStallMicros) {
      totalStallMicros += late;
      stallCount++;
      longestStallMicros = Math.max(longestStallMicros, late);
      graceEndsAt = nowMicros + graceMicros;
      nextTickAt = nowMicros;
    }
  }

  /** Time for which the process did not run since the start; only differences of it matter. */
  public long totalStallMicros() {
    return totalStallMicros;
  }

  /** How long to postpone a judgement by time, as a time-out; 0 if it may be made now. */
  public long remainingGraceMicros(long nowMicros) {
    return graceEndsAt > nowMicros ? graceEndsAt - nowMicros : 0;
  }

  /** Stalls since the start. */
  public long stallCount() {
    return stallCount;
  }

  /** The longest stall since the start. */
  public long longestStallMicros() {
    return longestStallMicros;
  }
}
