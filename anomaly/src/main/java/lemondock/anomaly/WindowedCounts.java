package lemondock.anomaly;

import java.util.Arrays;

/**
 * Counts of good and bad requests in a sliding window of buckets of equal duration. Callers pass in
 * the time, which must not go back. Not thread-safe.
 */
final class WindowedCounts {
  private final long bucketMicros;
  private final long[] good;
  private final long[] bad;
  private long latestBucket = Long.MIN_VALUE;

  /** Creates empty counts over {@code bucketCount} buckets of {@code bucketMicros} each. */
  WindowedCounts(long bucketMicros, int bucketCount) {
    this.bucketMicros = bucketMicros;
    this.good = new long[bucketCount];
    this.bad = new long[bucketCount];
  }

  void add(long nowMicros, long goodIncrease, long badIncrease) {
    advanceTo(Math.floorDiv(nowMicros, bucketMicros));
    good[slot(latestBucket)] += goodIncrease;
    bad[slot(latestBucket)] += badIncrease;
  }

  /** Moves the window forward to a bucket and empties the buckets that are new in it. */
  private void advanceTo(long bucket) {
    long firstNewBucket = Math.max(latestBucket + 1, bucket - good.length + 1);
    for (long newBucket = firstNewBucket; newBucket <= bucket; newBucket++) {
      good[slot(newBucket)] = 0;
      bad[slot(newBucket)] = 0;
    }
    latestBucket = bucket;
  }

  private int slot(long bucket) {
    return (int) Math.floorMod(bucket, (long) good.length);
  }

  /** Returns the good and bad requests in all buckets. */
  long total() {
    return Arrays.stream(good).sum() + bad();
  }

  /** Returns the good and bad requests over the last {@code windowMicros}, in whole buckets. */
  long total(long windowMicros) {
    return sumOverWindow(good, windowMicros) + bad(windowMicros);
  }

  /** Returns the bad requests in all buckets. */
  long bad() {
    return Arrays.stream(bad).sum();
  }

  /** Returns the bad requests over the last {@code windowMicros}, in whole buckets. */
  long bad(long windowMicros) {
    return sumOverWindow(bad, windowMicros);
  }

  private long sumOverWindow(long[] counts, long windowMicros) {
    long sum = 0;
    long firstBucket = latestBucket - windowMicros / bucketMicros + 1;
    for (long bucket = firstBucket; bucket <= latestBucket; bucket++) {
      sum += counts[slot(bucket)];
    }
    return sum;
  }
}
