package lemondock.emulator.collect;

import java.math.BigDecimal;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** What an emulated collector received: for each name the newest values. Any thread. */
public final class ReceivedReports {
  // Under the lock of this object.
  private final Map<String, Entry> newest = new TreeMap<>();
  private long values;
  private long unreadable;
  private long late;

  /**
   * The newest values under a name.
   *
   * @param stampMs their time as sent, in milliseconds of the epoch
   * @param values null for a value that is not a number
   */
  public record Entry(long stampMs, List<BigDecimal> values) {}

  /** Takes values; of two with one stamp the later arrival counts. */
  public synchronized void add(String name, long stampMs, List<BigDecimal> newValues) {
    values += newValues.size();
    Entry known = newest.get(name);
    if (known != null && stampMs < known.stampMs()) {
      late++;
    } else {
      newest.put(name, new Entry(stampMs, Collections.unmodifiableList(newValues)));
    }
  }

  /** Counts something that could not be read. */
  public synchronized void addUnreadable() {
    unreadable++;
  }

  /** The newest values by name. */
  public synchronized Map<String, Entry> newest() {
    return new TreeMap<>(newest);
  }

  /** The number of values received. */
  public synchronized long values() {
    return values;
  }

  /** Lines, frames or packets that could not be read, or whose signature was wrong. */
  public synchronized long unreadable() {
    return unreadable;
  }

  /** Reports that came after newer ones. */
  public synchronized long late() {
    return late;
  }
}
