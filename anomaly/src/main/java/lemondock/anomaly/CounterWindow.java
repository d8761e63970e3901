package lemondock.anomaly;

/** Increases of the cumulative counters of one scope over the last 8 seconds. Not thread-safe. */
final class CounterWindow {
  private static final long BUCKET_MICROS = 1_000_000;
  private static final int BUCKETS = 8;

  private final WindowedCounts recent = new WindowedCounts(BUCKET_MICROS, BUCKETS);
  private long lastGood;
  private long lastBad;
  private long goodIncrease;
  private long badIncrease;

  /**
   * Takes the current values of the counters. If one of them has decreased, the process that counts
   * has restarted from zero, and the whole values are the increase.
   */
  void update(long nowMicros, EventCounts counters) {
    long good = counters.good();
    long bad = counters.bad();
    boolean hasRestarted = good < lastGood || bad < lastBad;
    goodIncrease = hasRestarted ? good : good - lastGood;
    badIncrease = hasRestarted ? bad : bad - lastBad;
    lastGood = good;
    lastBad = bad;
    recent.add(nowMicros, goodIncrease, badIncrease);
  }

  /** Returns the increase of the good counter at the last update. */
  long goodIncrease() {
    return goodIncrease;
  }

  /** Returns the increase of the bad counter at the last update. */
  long badIncrease() {
    return badIncrease;
  }

  /** Returns the bad requests in the window. */
  long bad() {
    return recent.bad();
  }

  /** Returns the good and bad requests in the window. */
  long total() {
    return recent.total();
  }

  /** Returns the share of bad requests in the window, 0 to 1; 0 if there were no requests. */
  double lossRatio() {
    long total = total();
    return total == 0 ? 0 : (double) bad() / total;
  }
}
