package lemondock.metrics;

/**
 * One value of a metric family.
 *
 * @param name name under which collectors receive the value; part of the interface to them
 * @param kind how a collector interprets the value
 * @param decimalPlaces digits after the decimal point. Values are recorded as whole numbers of the
 *     smallest unit that this allows, so that sums are exact and do not depend on their order
 * @param unit unit of the value after the decimal point is applied, {@code 1} for a plain count
 * @param help description in one line for operators
 */
public record MetricField(String name, Kind kind, int decimalPlaces, String unit, String help) {
  private static final long[] POWERS_OF_TEN = {1, 10, 100, 1_000, 10_000, 100_000, 1_000_000};

  /** How a collector interprets a value. */
  public enum Kind {
    /** Only increases over the life of a process. */
    COUNTER,
    /** The value at the moment of the snapshot. */
    GAUGE
  }

  /**
   * Checks the number of decimal places.
   *
   * @throws IllegalArgumentException if there are more decimal places than supported
   */
  public MetricField {
    if (decimalPlaces < 0 || decimalPlaces >= POWERS_OF_TEN.length) {
      throw new IllegalArgumentException(
          "decimalPlaces of "
              + name
              + ": expected 0 to "
              + (POWERS_OF_TEN.length - 1)
              + ", found "
              + decimalPlaces);
    }
  }

  /**
   * Returns false for {@link MetricsSnapshot#NO_VALUE}, which marks a gauge without a value at
   * present; a counter always has a value.
   */
  public boolean hasValue(long value) {
    return kind == Kind.COUNTER || value != MetricsSnapshot.NO_VALUE;
  }

  /** Converts a recorded value to a floating-point number in {@link #unit}. */
  public double toDouble(long value) {
    return (double) value / POWERS_OF_TEN[decimalPlaces];
  }

  /** Appends a recorded value as an exact decimal in {@link #unit}, without trailing zeros. */
  public void appendDecimal(long value, StringBuilder target) {
    if (decimalPlaces == 0) {
      target.append(value);
      return;
    }
    long unitsPerWhole = POWERS_OF_TEN[decimalPlaces];
    if (value < 0) {
      target.append('-');
    }
    target.append(Long.toUnsignedString(Math.abs(value / unitsPerWhole)));
    appendFraction(Math.abs(value % unitsPerWhole), unitsPerWhole, target);
  }

  private static void appendFraction(long fraction, long unitsPerWhole, StringBuilder target) {
    if (fraction == 0) {
      return;
    }
    target.append('.');
    long rest = fraction;
    for (long unitsPerDigit = unitsPerWhole / 10;
        unitsPerDigit > 0 && rest > 0;
        unitsPerDigit /= 10) {
      target.append((char) ('0' + rest / unitsPerDigit));
      rest %= unitsPerDigit;
    }
  }
}
