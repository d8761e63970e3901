package lemondock.exporter;

import java.util.Optional;

/**
 * The snapshots that one destination still has to send: the current one, which may be sent in
 * parts, and those pending in the buffer. Loop thread only.
 */
public final class DestinationQueue {
  private final SnapshotBuffer.Cursor cursor;
  private final int maxPending;
  private BufferedSnapshot current; // null: none is being sent
  private int nextSeries;

  /**
   * Creates a queue of the snapshots that are appended to the buffer from now on.
   *
   * @param maxPending maximum number of pending snapshots; beyond it the oldest are dropped
   */
  public DestinationQueue(SnapshotBuffer buffer, int maxPending) {
    this.cursor = buffer.newCursor();
    this.maxPending = maxPending;
  }

  /** The snapshot being sent; if there is none, starts the next pending snapshot. */
  public Optional<BufferedSnapshot> currentOrNext() {
    if (current == null) {
      cursor.dropOldestBeyond(maxPending);
      current = cursor.next().orElse(null);
      nextSeries = 0;
    }
    return Optional.ofNullable(current);
  }

  /** Position of the first series of the current snapshot that has not been encoded. */
  public int nextSeries() {
    return nextSeries;
  }

  /** Sets the position of the first series of the current snapshot that has not been encoded. */
  public void advanceTo(int series) {
    nextSeries = series;
  }

  /**
   * Completes the current snapshot if all of its series have been encoded. Call it after the
   * encoded series have been sent.
   *
   * @return whether a snapshot was completed
   */
  public boolean completeIfAllSent() {
    if (current == null || nextSeries < current.series().size()) {
      return false;
    }
    current = null;
    return true;
  }

  /** Whether no snapshot is being sent and none is pending. */
  public boolean isEmpty() {
    return current == null && cursor.pendingCount() == 0;
  }

  /**
   * Returns the current snapshot and the given number of snapshots sent before it to the queue.
   *
   * @param sentCount number of completely sent snapshots to send again, as far as the buffer still
   *     keeps them
   * @return how many completely sent snapshots will be sent again
   */
  public int rewind(int sentCount) {
    int partlySentCount = current == null ? 0 : 1;
    current = null;
    return Math.max(0, cursor.rewind(sentCount + partlySentCount) - partlySentCount);
  }

  /**
   * Updates the counts of dropped and pending snapshots; pending snapshots above the limit count as
   * dropped.
   */
  public void updateStatistics(DestinationStatistics statistics) {
    int excessCount = Math.max(0, cursor.pendingCount() - maxPending);
    int inProgressCount = current == null ? 0 : 1;
    statistics.set(DestinationCounter.SNAPSHOTS_DROPPED, cursor.droppedCount() + excessCount);
    statistics.set(
        DestinationCounter.SNAPSHOTS_PENDING,
        cursor.pendingCount() - excessCount + inProgressCount);
  }
}
