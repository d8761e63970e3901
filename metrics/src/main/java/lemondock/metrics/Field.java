package lemondock.metrics;

/**
 * One value of a family.
 *
 * @param kind what the value means to a collector
 * @param decimals places after the point: a value is a whole number of that small a part, so sums
 *     are exact
 * @param unit unit of the value once the point is set, {@code 1} for a plain count
 */
public record Field(String name, Kind kind, int decimals, String unit, String help) {
  /** A counter only grows, over the life of a process; a gauge is what it is now. */
  public enum Kind {
    COUNTER,
    GAUGE
  }

  private static final long[] POWERS = {1, 10, 100, 1_000, 10_000, 100_000, 1_000_000};

  /** The value as a floating-point number. */
  public double toDouble(long value) {
    return (double) value / POWERS[decimals];
  }

  /** The value as an exact decimal: what a text protocol gets. */
  public void append(long value, StringBuilder to) {
    if (decimals == 0) {
      to.append(value);
      return;
    }
    long power = POWERS[decimals];
    if (value < 0) {
      to.append('-');
    }
    to.append(Long.toUnsignedString(Math.abs(value / power)));
    long rest = Math.abs(value % power);
    if (rest != 0) {
      to.append('.');
      for (long p = power / 10; p > 0 && rest > 0; p /= 10) {
        to.append((char) ('0' + rest / p));
        rest %= p;
      }
    }
  }
}
