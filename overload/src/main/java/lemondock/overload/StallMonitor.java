package lemondock.overload;

/**
 * How late the gateway itself is, told by a tick that it should run at a fixed pace. It keeps two
 * things apart that look alike from within: engines that are slow, and a process that did not run
 * (stopped, swapped out, collecting garbage, starved of processors). Time for which it did not run
 * is nobody's fault: it is taken off what attempts took, and what is judged by time waits until
 * what came in meanwhile was heard. No clock, no I/O; one thread.
 */
public final class StallMonitor {
  private final long tick;
  private final long least;
  private final long grace;
  private long due;
  private boolean ticking;
  private long stalled;
  private long judgeFrom = Long.MIN_VALUE;
  private long stalls;
  private long longest;

  /**
   * Times in microseconds.
   *
   * @param tick between two ticks
   * @param least lateness of a tick that counts as a stall
   * @param grace after a stall, for what is waiting at the sockets to be heard
   */
  public StallMonitor(long tick, long least, long grace) {
    this.tick = tick;
    this.least = least;
    this.grace = grace;
  }

  /** A tick runs; tells when the next is due. */
  public long ticked(long now) {
    notice(now);
    ticking = true;
    due = now + tick;
    return due;
  }

  /**
   * Anything runs. A stall is noticed by whatever runs first after it, which need not be the tick;
   * the tick then finds that it was counted.
   */
  public void notice(long now) {
    long late = ticking ? now - due : 0;
    if (late >= least) {
      stalled += late;
      stalls++;
      longest = Math.max(longest, late);
      judgeFrom = now + grace;
      due = now;
    }
  }

  /** Time for which the process did not run so far; differences of it are what counts. */
  public long stalled() {
    return stalled;
  }

  /** How long to put off judging anything by time; 0 if it may be judged now. */
  public long putOff(long now) {
    return judgeFrom > now ? judgeFrom - now : 0;
  }

  /** Stalls so far. */
  public long stalls() {
    return stalls;
  }

  /** The longest stall so far. */
  public long longest() {
    return longest;
  }
}
