package lemondock.exporter;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;

/**
 * A ring buffer of the latest snapshots, from which all destinations read. Beyond a limit of bytes
 * or of snapshots the oldest are dropped. Each snapshot is stored as its difference from the one
 * before, since most values do not change; the state before the oldest is stored in full. Each
 * destination reads with a {@link Cursor} of its own, so that all share one copy and a slow
 * destination does not delay the others. Loop thread only.
 */
public final class SnapshotBuffer {
  private final long maxBytes;
  private final int maxSnapshots;
  private final SnapshotDeltaCodec codec = new SnapshotDeltaCodec();
  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private long[] valuesBeforeOldest = new long[0];
  private long[] newestValues = new long[0];
  private List<Series> series = List.of();
  private long oldestSequenceNumber;
  private long byteCount;

  private record Entry(long timestampMillis, int seriesCount, int slotCount, byte[] delta) {
    long[] applyTo(long[] state) {
      return SnapshotDeltaCodec.apply(state, delta, slotCount);
    }
  }

  /**
   * Creates an empty buffer. The newest snapshot is always kept, whatever its size.
   *
   * @param maxBytes limit on the encoded differences
   * @param maxSnapshots limit on the number of snapshots
   */
  public SnapshotBuffer(long maxBytes, int maxSnapshots) {
    this.maxBytes = maxBytes;
    this.maxSnapshots = maxSnapshots;
  }

  /**
   * Appends the newest snapshot. Its series must begin with those of the snapshot before, in the
   * same order; new series may only follow at the end.
   *
   * @param timestampMillis milliseconds since the epoch
   */
  public void append(long timestampMillis, MetricsSnapshot snapshot) {
    long[] values = snapshot.values();
    newestValues = Arrays.copyOf(newestValues, values.length);
    byte[] delta = codec.encode(newestValues, values);
    System.arraycopy(values, 0, newestValues, 0, values.length);
    series = snapshot.series();
    entries.add(new Entry(timestampMillis, series.size(), values.length, delta));
    byteCount += delta.length;
    while (entries.size() > 1 && (entries.size() > maxSnapshots || byteCount > maxBytes)) {
      dropOldest();
    }
  }

  private void dropOldest() {
    Entry oldest = entries.poll();
    valuesBeforeOldest = oldest.applyTo(valuesBeforeOldest);
    byteCount -= oldest.delta().length;
    oldestSequenceNumber++;
  }

  /** Bytes of the encoded differences, without the state before the oldest snapshot. */
  public long byteCount() {
    return byteCount;
  }

  /** Number of snapshots kept. */
  public int size() {
    return entries.size();
  }

  /** Creates a cursor whose first snapshot is the next one to be appended. */
  public Cursor newCursor() {
    return new Cursor();
  }

  private long endSequenceNumber() {
    return oldestSequenceNumber + entries.size();
  }

  /** The read position of one destination. */
  public final class Cursor {
    private long[] values = newestValues.clone();
    private long nextSequenceNumber = endSequenceNumber();
    private long droppedCount;

    private Cursor() {}

    /** Reads the next snapshot; empty if there is none yet. */
    public Optional<BufferedSnapshot> next() {
      if (pendingCount() == 0) {
        return Optional.empty();
      }
      if (nextSequenceNumber < oldestSequenceNumber) {
        droppedCount += oldestSequenceNumber - nextSequenceNumber;
        nextSequenceNumber = oldestSequenceNumber;
        values = valuesBeforeOldest.clone();
      }
      Entry entry = entryAt(nextSequenceNumber - oldestSequenceNumber);
      values = entry.applyTo(values);
      BufferedSnapshot snapshot =
          new BufferedSnapshot(
              nextSequenceNumber,
              entry.timestampMillis(),
              series.subList(0, entry.seriesCount()),
              values);
      nextSequenceNumber++;
      return Optional.of(snapshot);
    }

    private Entry entryAt(long position) {
      if (position == entries.size() - 1) {
        return entries.peekLast(); // avoids the search below in by far the most frequent case
      }
      return entries.stream().skip(position).findFirst().orElseThrow();
    }

    /** Number of snapshots in the buffer that this cursor has not read yet. */
    public int pendingCount() {
      return (int) (endSequenceNumber() - Math.max(nextSequenceNumber, oldestSequenceNumber));
    }

    /** Number of snapshots that were dropped before they were read. */
    public long droppedCount() {
      return droppedCount + Math.max(0, oldestSequenceNumber - nextSequenceNumber);
    }

    /** Drops the oldest unread snapshots until at most {@code maxPending} are left. */
    public void dropOldestBeyond(int maxPending) {
      while (pendingCount() > maxPending) {
        next();
        droppedCount++;
      }
    }

    /**
     * Moves back by a number of snapshots, or to the oldest one in the buffer.
     *
     * @return the number of snapshots by which the cursor moved back
     */
    public int rewind(int count) {
      long target = Math.max(oldestSequenceNumber, nextSequenceNumber - count);
      if (target >= nextSequenceNumber) {
        return 0;
      }
      values = valuesBefore(target);
      final int rewoundCount = (int) (nextSequenceNumber - target);
      nextSequenceNumber = target;
      return rewoundCount;
    }

    private long[] valuesBefore(long sequenceNumber) {
      long[] state = valuesBeforeOldest.clone();
      long remaining = sequenceNumber - oldestSequenceNumber;
      for (Entry entry : entries) {
        if (remaining-- == 0) {
          break;
        }
        state = entry.applyTo(state);
      }
      return state;
    }
  }
}
