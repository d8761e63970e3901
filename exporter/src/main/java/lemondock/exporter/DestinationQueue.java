package lemondock.exporter;

import java.util.Optional;

/**
 * The snapshots that one destination still has to send: the one being sent, which may be sent a
 * part at a time, and those pending in the buffer. Loop thread only.
 */
public final class DestinationQueue {
  private final SnapshotBuffer.Cursor cursor;
  private final int maxPending;
  private BufferedSnapshot current; // null: none is being sent
  private int nextSeries;

  /**
   * Makes a queue of the snapshots that will be appended to the buffer from now on.
   *
   * @param maxPending limit on the snapshots that may wait; beyond it the oldest are dropped
   */
  public DestinationQueue(SnapshotBuffer buffer, int maxPending) {
    this.cursor = buffer.newCursor();
    this.maxPending = maxPending;
  }

  /** The snapshot being sent, or else the next pending one, which is then being sent. */
  public Optional<BufferedSnapshot> currentOrNext() {
    if (current == null) {
      cursor.dropOldestBeyond(maxPending);
      current = cursor.next().orElse(null);
      nextSeries = 0;
    }
    return Optional.ofNullable(current);
  }

  /** Position of the first series of the current snapshot that is not encoded yet. */
  public int nextSeries() {
    return nextSeries;
  }

  /** Moves on in the current snapshot to the first series that is not encoded yet. */
  public void advanceTo(int series) {
    nextSeries = series;
  }

  /**
   * Ends the current snapshot if all of its series are encoded; to be called once these are sent.
   *
   * @return whether a snapshot was ended
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
   * Puts the current snapshot and some of those sent before it back into the queue.
   *
   * @param sentSnapshots number of snapshots to send again, as far as they are kept
   * @return how many of those that had been sent completely will be sent again
   */
  public int rewind(int sentSnapshots) {
    int partlySent = current == null ? 0 : 1;
    current = null;
    return Math.max(0, cursor.rewind(sentSnapshots + partlySent) - partlySent);
  }

  /**
   * Updates the counts of dropped and pending snapshots; what exceeds the limit counts as dropped.
   */
  public void updateStatistics(DestinationStatistics statistics) {
    int excess = Math.max(0, cursor.pendingCount() - maxPending);
    int inProgress = current == null ? 0 : 1;
    statistics.set(DestinationCounter.SNAPSHOTS_DROPPED, cursor.droppedCount() + excess);
    statistics.set(
        DestinationCounter.SNAPSHOTS_PENDING, cursor.pendingCount() - excess + inProgress);
  }
}
