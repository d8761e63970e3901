package lemondock.exporter;

import java.io.ByteArrayOutputStream;

/** Turns snapshots into the bytes of a stream protocol, a piece at a time. No I/O. */
public interface Encoder {
  /**
   * Appends series of a snapshot until about so many bytes are written.
   *
   * @param from the place of the first series
   * @return the place of the first series not written; the number of series if all were
   */
  int encode(SnapshotRing.View snapshot, int from, int about, ByteArrayOutputStream to);
}
