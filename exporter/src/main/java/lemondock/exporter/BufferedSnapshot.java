package lemondock.exporter;

import java.util.List;
import lemondock.metrics.Series;

/**
 * A snapshot to be sent.
 *
 * @param sequenceNumber counts snapshots from 0; a gap means that some were dropped
 * @param timestampMillis milliseconds since the epoch
 * @param series the series that existed at the moment
 * @param values a value for each slot; valid until the cursor that it was read with moves
 */
public record BufferedSnapshot(
    long sequenceNumber, long timestampMillis, List<Series> series, long[] values) {}
