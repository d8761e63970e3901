package lemondock.exporter;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import lemondock.metrics.Series;

/** Encodes snapshots for a protocol that consists of lines of ASCII text. */
public abstract class LineEncoder implements SnapshotEncoder {
  @Override
  public final int encode(
      BufferedSnapshot snapshot, int firstSeries, int targetBytes, ByteArrayOutputStream output) {
    StringBuilder lines = new StringBuilder();
    int startBytes = output.size();
    int next = firstSeries;
    while (next < snapshot.series().size() && output.size() - startBytes < targetBytes) {
      lines.setLength(0);
      appendLines(snapshot, snapshot.series().get(next), lines);
      output.writeBytes(lines.toString().getBytes(StandardCharsets.US_ASCII));
      next++;
    }
    return next;
  }

  /** Appends the lines of one series, each terminated by a line feed. */
  protected abstract void appendLines(
      BufferedSnapshot snapshot, Series series, StringBuilder lines);
}
