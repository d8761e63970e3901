package lemondock.overload;

/**
 * How many repeated calls may come in for the new ones that do. A client that was refused comes
 * again, and where each refusal brings back a call the load grows by being refused; so repeats get
 * a budget: a part of the calls that were new, and some a second besides, so that a client of a
 * quiet gateway may always try again (Finagle's RetryBudget, kept at the server: its clients are
 * strangers). Counts fade, half of them each {@code halfLife}. No clock, no I/O; one thread.
 */
public final class RetryBudget {
  private final Settings settings;
  private double firsts;
  private double repeats;
  private long fadedAt = Long.MIN_VALUE;

  /**
   * How it decides.
   *
   * @param part repeats that each new call pays for
   * @param floor repeats a second that need no new call
   * @param halfLife microseconds in which half of what was counted is forgotten
   */
  public record Settings(double part, double floor, long halfLife) {}

  /** Makes one that has counted nothing. */
  public RetryBudget(Settings settings) {
    this.settings = settings;
  }

  /** A call arrived, let in or not; {@code repeat} says that its client asked before. */
  public void arrived(boolean repeat) {
    if (repeat) {
      repeats++;
    } else {
      firsts++;
    }
  }

  /** The share of repeats that is within the budget now, 0 to 1. */
  public double share(long now) {
    if (fadedAt != Long.MIN_VALUE) {
      double kept = Math.pow(0.5, (double) (now - fadedAt) / settings.halfLife());
      firsts *= kept;
      repeats *= kept;
    }
    fadedAt = now;
    double seconds =
        settings.halfLife() / 1e6 / Math.log(2); // what a steady rate adds up to under this fading
    double budget = settings.part() * firsts + settings.floor() * seconds;
    return repeats <= budget ? 1 : budget / repeats;
  }
}
