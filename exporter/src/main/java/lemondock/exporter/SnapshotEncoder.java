package lemondock.exporter;

import java.io.ByteArrayOutputStream;

/** Encodes snapshots for a stream protocol, in parts. No I/O. */
public interface SnapshotEncoder {
  /**
   * Encodes series of a snapshot until at least {@code targetBytes} are appended to the output or
   * all series are encoded.
   *
   * @param firstSeries position of the first series to encode
   * @return the position after the last encoded series; the number of series once all are encoded
   */
  int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output);
}
