package lemondock.anomaly;

/** The recent increases of the cumulative counters of one scope. Not thread-safe. */
final class CounterWindow {
  private static final long BUCKET_MICROS = 1_000_000;
  private static final int BUCKETS = 8;

  private final WindowedCounts recent = new WindowedCounts(BUCKET_MICROS, BUCKETS);
  private long lastGood;
  private long lastBad;
  private long newGood;
  private long newBad;

  /** Takes the counters. Ones that went back are those of a restarted process and began at zero. */
  void update(long nowMicros, EventCounts counters) {
    long good = counters.good();
    long bad = counters.bad();
    boolean isRestarted = good < lastGood || bad < lastBad;
    newGood = isRestarted ? good : good - lastGood;
    newBad = isRestarted ? bad : bad - lastBad;
    lastGood = good;
    lastBad = bad;
    recent.add(nowMicros, newGood, newBad);
  }

  /** Increase of the good counter at the last update. */
  long newGood() {
    return newGood;
  }

  /** Increase of the bad counter at the last update. */
  long newBad() {
    return newBad;
  }

  /** Bad requests over the last seconds. */
  long bad() {
    return recent.bad();
  }

  /** All requests over the last seconds. */
  long total() {
    return recent.total();
  }

  /** Share of bad requests over the last seconds; 0 if there were none. */
  double lossRatio() {
    long total = total();
    return total == 0 ? 0 : (double) bad() / total;
  }
}
