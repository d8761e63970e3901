package lemondock.benchmark;

import java.util.Arrays;
import java.util.Locale;

/** The measured values of each round, one for each column of a table. */
final class RoundValues {
  private final double[][] columns;

  /** Creates a table of zeros. */
  RoundValues(int columnCount, int rounds) {
    columns = new double[columnCount][rounds];
  }

  /**
   * Records a round.
   *
   * @param round from 0; negative for a warm-up round, which is not recorded
   * @param values one for each column
   */
  void record(int round, double... values) {
    for (int column = 0; round >= 0 && column < values.length; column++) {
      columns[column][round] = values[column];
    }
  }

  /** The median of a column over all rounds. */
  double median(int column) {
    return sorted(column)[columns[column].length / 2];
  }

  /** Formats each column as a cell of a table: {@code | median (minimum to maximum)}. */
  String format() {
    StringBuilder cells = new StringBuilder();
    for (int column = 0; column < columns.length; column++) {
      cells.append(" | ").append(format(column));
    }
    return cells.toString();
  }

  /** Formats a column as {@code median (minimum to maximum)}. */
  String format(int column) {
    double[] sorted = sorted(column);
    return String.format(
        Locale.ROOT,
        "%.4g (%.4g to %.4g)",
        sorted[sorted.length / 2],
        sorted[0],
        sorted[sorted.length - 1]);
  }

  private double[] sorted(int column) {
    double[] sorted = columns[column].clone();
    Arrays.sort(sorted);
    return sorted;
  }
}
