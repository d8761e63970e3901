package lemondock.metrics;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Bounds the number of distinct values of a label. Reserved values always pass; others pass until
 * the limit is reached, and what comes after that becomes {@link #OVERFLOW}. Without it a client
 * could make the gateway and every collector behind it keep a series for each name that it invents.
 * Not thread-safe.
 */
public final class LabelCardinalityLimit {
  /** The label value that stands for all values beyond the limit. */
  public static final String OVERFLOW = "other";

  private static final int MAX_VALUE_CHARS = 64;

  private final Set<String> reservedValues;
  private final Set<String> acceptedValues = new HashSet<>();
  private final int maxAcceptedValues;
  private long overflowCount;

  /**
   * Makes a limit that has accepted nothing yet.
   *
   * @param reservedValues values that always pass
   * @param maxAcceptedValues number of further values that may pass
   */
  public LabelCardinalityLimit(Collection<String> reservedValues, int maxAcceptedValues) {
    this.reservedValues = Set.copyOf(reservedValues);
    this.maxAcceptedValues = maxAcceptedValues;
  }

  /**
   * The label value to count under: the value itself, or {@link #OVERFLOW} if it is beyond the
   * limit, empty or longer than 64 characters.
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

  /** How many calls of {@link #labelFor} answered {@link #OVERFLOW}. */
  public long overflowCount() {
    return overflowCount;
  }
}
