package lemondock.exporter;

/** Counts of one destination since the start. Loop thread only. */
public final class DestinationStatistics {
  private final long[] values = new long[DestinationCounter.values().length];

  /** The current value of a counter. */
  public long value(DestinationCounter counter) {
    return values[counter.ordinal()];
  }

  /** Adds to a counter. */
  public void add(DestinationCounter counter, long delta) {
    values[counter.ordinal()] += delta;
  }

  void set(DestinationCounter counter, long value) {
    values[counter.ordinal()] = value;
  }
}
