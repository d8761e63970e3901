package lemondock.metrics;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Limits the number of distinct values of a label. Reserved values are always accepted; other
 * values are accepted until the limit is reached, and further ones become {@link #OVERFLOW}.
 * Without the limit a client could make the gateway and every collector behind it keep a series for
 * each name that the client invents. Not thread-safe.
 */
public final class LabelCardinalityLimit {
  /** The label value that replaces all values beyond the limit. */
  public static final String OVERFLOW = "other";

  private static final int MAX_VALUE_CHARS = 64;

  private final Set<String> reservedValues;
  private final Set<String> acceptedValues = new HashSet<>();
  private final int maxAcceptedValues;
  private long overflowCount;

  /**
   * Creates a limit that has accepted only the reserved values.
   *
   * @param reservedValues values that are always accepted
   * @param maxAcceptedValues number of further values to accept
   */
  public LabelCardinalityLimit(Collection<String> reservedValues, int maxAcceptedValues) {
    this.reservedValues = Set.copyOf(reservedValues);
    this.maxAcceptedValues = maxAcceptedValues;
  }

  /**
   * Returns the label value to count under: the value itself, or {@link #OVERFLOW} if the value is
   * beyond the limit, empty or longer than 64 characters.
   */
  public String labelFor(String value) {
    if (reservedValues.contains(value) || acceptedValues.contains(value)) {
      return value;
    }
    if (acceptedValues.size() < maxAcceptedValues && isAcceptable(value)) {
      acceptedValues.add(value);
      return value;
    }
    overflowCount++;
    return OVERFLOW;
  }

  private static boolean isAcceptable(String value) {
    return !value.isEmpty() && value.length() <= MAX_VALUE_CHARS && !value.equals(OVERFLOW);
  }

  /** Returns how many calls of {@link #labelFor} returned {@link #OVERFLOW}. */
  public long overflowCount() {
    return overflowCount;
  }
}
