package lemondock.exporter;

import java.io.ByteArrayOutputStream;

/** Encodes snapshots for a stream protocol, a part at a time. No I/O. */
public interface SnapshotEncoder {
  /**
   * Appends series of a snapshot until about {@code targetBytes} are written.
   *
   * @param firstSeries position of the first series to encode
   * @return the position after the last series that was encoded; the number of series once all are
   */
  int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output);
}
