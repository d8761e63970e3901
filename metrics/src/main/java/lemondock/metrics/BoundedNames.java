package lemondock.metrics;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Names that may become labels: the reserved ones always, others until the bound is reached, then
 * {@link #OTHER}. Without it a client could make a gateway and every collector behind it hold a
 * series for each name it invents. One thread.
 */
public final class BoundedNames {
  /** What a name beyond the bound is counted under. */
  public static final String OTHER = "other";

  private static final int MOST_CHARS = 64;

  private final Set<String> reserved;
  private final Set<String> taken = new HashSet<>();
  private final int bound;
  private long turnedAway;

  /** Makes a set; the bound counts names besides the reserved ones. */
  public BoundedNames(Collection<String> reserved, int bound) {
    this.reserved = Set.copyOf(reserved);
    this.bound = bound;
  }

  /**
   * The label for a name: itself or {@link #OTHER}; an empty or overlong name is beyond the bound
   * too.
   */
  public String label(String name) {
    if (reserved.contains(name) || taken.contains(name)) {
      return name;
    }
    if (taken.size() < bound
        && !name.isEmpty()
        && name.length() <= MOST_CHARS
        && !name.equals(OTHER)) {
      taken.add(name);
      return name;
    }
    turnedAway++;
    return OTHER;
  }

  /** How often a name was counted under {@link #OTHER}. */
  public long turnedAway() {
    return turnedAway;
  }
}
