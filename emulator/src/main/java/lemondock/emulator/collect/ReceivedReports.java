package lemondock.emulator.collect;

import java.math.BigDecimal;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The newest values that an emulated collector received under each name. Thread-safe. */
public final class ReceivedReports {
  // All fields are guarded by the lock of this object.
  private final Map<String, Entry> newest = new TreeMap<>();
  private long values;
  private long unreadable;
  private long late;

  /**
   * The newest values under a name.
   *
   * @param timestampMs the time that the sender gave them, in milliseconds since the epoch
   * @param values the values; an element is null if the value is not a number
   */
  public record Entry(long timestampMs, List<BigDecimal> values) {}

  /** Adds values. If timestamps are equal, the values that arrive last are kept. */
  public synchronized void add(String name, long timestampMs, List<BigDecimal> newValues) {
    values += newValues.size();
    Entry previous = newest.get(name);
    if (previous != null && timestampMs < previous.timestampMs()) {
      late++;
    } else {
      newest.put(name, new Entry(timestampMs, Collections.unmodifiableList(newValues)));
    }
  }

  /** Counts a line, frame or packet that could not be read. */
  public synchronized void addUnreadable() {
    unreadable++;
  }

  /** Returns a copy of the newest values by name. */
  public synchronized Map<String, Entry> newest() {
    return new TreeMap<>(newest);
  }

  /** The number of values received. */
  public synchronized long values() {
    return values;
  }

  /** The number of lines, frames or packets that were malformed or not validly signed. */
  public synchronized long unreadable() {
    return unreadable;
  }

  /** The number of reports that arrived after one with a newer timestamp. */
  public synchronized long late() {
    return late;
  }
}
