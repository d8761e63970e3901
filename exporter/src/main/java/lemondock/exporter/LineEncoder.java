package lemondock.exporter;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import lemondock.metrics.Series;

/** Encodes snapshots for a protocol of ASCII lines. */
public abstract class LineEncoder implements SnapshotEncoder {
  @Override
  public final int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output) {
    int startBytes = output.size();
    int next = firstSeries;
    while (next < snapshot.series().size() && output.size() - startBytes < targetBytes) {
      String lines = lines(snapshot, snapshot.series().get(next));
      output.writeBytes(lines.getBytes(StandardCharsets.US_ASCII));
      next++;
    }
    return next;
  }

  /** The lines of one series, each with its line feed. */
  protected abstract String lines(BufferedSnapshot snapshot, Series series);
}
