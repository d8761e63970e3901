package lemondock.emulator.collect;

import java.math.BigDecimal;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What a stand-in for a collector was told: for each name the newest values by their stamps. Any
 * thread.
 */
public final class ReceivedReports {
  private final Map<String, Entry> entries = new TreeMap<>();
  private long values;
  private long bad;
  private long older;

  /**
   * The newest values under a name; a value that is not a number is null. Stamp in milliseconds.
   */
  public record Entry(long stamp, List<BigDecimal> values, int points) {}

  /** Takes values; of two with one stamp the later arrival counts. */
  public synchronized void take(String name, long stamp, List<BigDecimal> some) {
    Entry before = entries.get(name);
    values += some.size();
    if (before != null && stamp < before.stamp()) {
      older++;
      entries.put(name, new Entry(before.stamp(), before.values(), before.points() + 1));
    } else {
      entries.put(
          name,
          new Entry(
              stamp,
              java.util.Collections.unmodifiableList(some),
              before == null ? 1 : before.points() + 1));
    }
  }

  /** Something could not be read. */
  public synchronized void bad() {
    bad++;
  }

  /** The newest values by name. */
  public synchronized Map<String, Entry> newest() {
    return new TreeMap<>(entries);
  }

  /** Values received. */
  public synchronized long values() {
    return values;
  }

  /** Lines, frames or packets that could not be read, or whose seal was wrong. */
  public synchronized long unreadable() {
    return bad;
  }

  /** Values that came after newer ones. */
  public synchronized long late() {
    return older;
  }
}
