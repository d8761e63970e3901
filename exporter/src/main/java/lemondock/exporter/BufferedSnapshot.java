package lemondock.exporter;

import java.util.List;
import lemondock.metrics.Series;

/**
 * One snapshot as a {@link SnapshotBuffer.Cursor} reads it for sending.
 *
 * @param sequenceNumber number of the snapshot, from 0; a gap means that snapshots were dropped
 * @param timestampMillis milliseconds since the epoch
 * @param series the series that existed when the snapshot was taken
 * @param values the value of each slot; valid until the cursor that returned the snapshot moves
 */
public record BufferedSnapshot(
    long sequenceNumber, long timestampMillis, List<Series> series, long[] values) {}
