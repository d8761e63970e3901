package lemondock.exporter;

/**
 * Stamps for reports, which never go back and never repeat. Collectors overwrite or refuse what is
 * older than what they have, so after the wall clock was set back the stamps go on from the last
 * one at half the speed of real time until the clock has caught up. Where it is so far behind that
 * this would take too long (it had jumped ahead before), the stamps follow it back, once. No clock
 * of its own.
 */
public final class Stamps {
  private final long mostAhead;
  private long last = Long.MIN_VALUE;
  private long lastNow;
  private long lastWall;
  private long setBack;

  /**
   * Makes stamps; beyond {@code mostAhead} milliseconds ahead of the wall clock they follow it
   * back.
   */
  public Stamps(long mostAhead) {
    this.mostAhead = mostAhead;
  }

  /**
   * The next stamp.
   *
   * @param now microseconds of a clock that never goes back
   * @param wall milliseconds since the epoch, as the wall clock says
   * @return milliseconds since the epoch
   */
  public long next(long now, long wall) {
    if (last == Long.MIN_VALUE) {
      last = wall;
    } else {
      setBack += wall < lastWall ? 1 : 0;
      long gone = Math.max(1, (now - lastNow) / 2_000);
      long behind = last + gone - wall;
      last = behind > mostAhead ? wall : Math.max(wall, last + gone);
    }
    lastNow = now;
    lastWall = wall;
    return last;
  }

  /** Milliseconds by which the last stamp was ahead of the wall clock. */
  public long ahead() {
    return last == Long.MIN_VALUE ? 0 : Math.max(0, last - lastWall);
  }

  /** How often the wall clock was seen to go back. */
  public long setBack() {
    return setBack;
  }
}
