package lemondock.metrics;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.HdrHistogram.Histogram;

/**
 * All that is counted in a process. Threads count in {@link Recorder}s of their own; a snapshot
 * merges them on the thread that asks for it. Series are made once and kept by those who count, so
 * no look-up happens while counting.
 */
public final class Tally {
  private static final double[] PERCENTILES = {50, 90, 99, 99.9};
  private static final int FIRST_PERCENTILE = 2;

  private final int mostSlots;
  private final int mostSeries;
  private final Map<Family, Map<List<String>, Series>> made = new HashMap<>();
  private final List<Series> series = new ArrayList<>();
  private final List<Recorder> recorders = new CopyOnWriteArrayList<>();
  private final Map<Integer, Histogram> interval = new HashMap<>();
  private final long[] totals;
  private int slots;
  private int keptBack;
  private long refused;

  /**
   * Makes an empty tally; the bounds are on top of those of single dimensions, for all of them
   * together.
   *
   * @param mostSlots values at the most
   */
  public Tally(int mostSlots) {
    this.mostSlots = mostSlots;
    this.mostSeries = mostSlots;
    this.totals = new long[mostSlots];
    this.keptBack = Metrics.ALL.stream().mapToInt(f -> f.fields().size()).sum();
  }

  /** A recorder for one thread. */
  public Recorder recorder() {
    Recorder recorder = new Recorder(mostSlots, mostSeries);
    recorders.add(recorder);
    return recorder;
  }

  /**
   * The series of a family under the labels, made if it is new; any thread. Where all slots are
   * taken the labels become {@link BoundedNames#OTHER}; slots for such a row are kept back for each
   * family of {@link Metrics}.
   */
  public synchronized Series series(Family family, String... labels) {
    if (labels.length != family.dimensions().size()) {
      throw new IllegalArgumentException(
          family.name()
              + " has the dimensions "
              + family.dimensions()
              + ", found "
              + Arrays.toString(labels));
    }
    Map<List<String>, Series> known = made.computeIfAbsent(family, f -> new HashMap<>());
    List<String> key = List.of(labels);
    Series found = known.get(key);
    int size = family.fields().size();
    if (found == null && !isLast(key) && slots + size > mostSlots - keptBack) {
      refused++;
      key = Collections.nCopies(labels.length, BoundedNames.OTHER);
      found = known.get(key);
    }
    if (found != null) {
      return found;
    }
    boolean kept = isLast(key) && Metrics.ALL.contains(family);
    if (slots + size > mostSlots - (kept ? 0 : keptBack)) {
      throw new IllegalStateException(
          "no slot is left for " + family.name() + "; raise the bound of " + mostSlots);
    }
    keptBack -= kept ? size : 0;
    found = new Series(series.size(), family, key, slots);
    slots += size;
    series.add(found);
    known.put(key, found);
    return found;
  }

  /** Whether a row is the one that is always there: for others, or of a family without labels. */
  private static boolean isLast(List<String> key) {
    return key.stream().allMatch(BoundedNames.OTHER::equals);
  }

  /** How often a series was refused for want of slots. */
  public synchronized long refused() {
    return refused;
  }

  /**
   * Merges what all threads have counted; one caller at a time, on any thread, without stopping any
   * of them.
   *
   * @param endsInterval whether times recorded after it make up new percentiles
   */
  public Snapshot snapshot(boolean endsInterval) {
    List<Recorder.Buffer> taken = new ArrayList<>();
    for (Recorder recorder : recorders) {
      taken.add(recorder.take());
    }
    List<Series> now;
    int used;
    synchronized (this) { // after the buffers were taken: whatever they hold has its series by now
      now = List.copyOf(series);
      used = slots;
    }
    for (Recorder.Buffer buffer : taken) {
      drain(buffer);
    }
    for (Series s : now) {
      if (s.family().shape() == Family.Shape.TIMES) {
        percentiles(s, taken, endsInterval);
      }
    }
    return new Snapshot(now, Arrays.copyOf(totals, used));
  }

  private void drain(Recorder.Buffer buffer) {
    for (int c = 0; c < buffer.values.length(); c++) {
      long[] chunk = buffer.values.get(c);
      if (chunk != null) {
        for (int i = 0; i < chunk.length; i++) {
          if (chunk[i] != 0) {
            totals[c * Recorder.CHUNK + i] += chunk[i];
            chunk[i] = 0;
          }
        }
      }
    }
  }

  private void percentiles(Series s, List<Recorder.Buffer> taken, boolean endsInterval) {
    Histogram joined = interval.computeIfAbsent(s.number(), n -> Recorder.newHistogram());
    for (Recorder.Buffer buffer : taken) {
      Histogram part = buffer.times.get(s.number());
      if (part != null && part.getTotalCount() > 0) {
        joined.add(part);
        part.reset();
      }
    }
    boolean none = joined.getTotalCount() == 0;
    for (int i = 0; i < PERCENTILES.length; i++) {
      totals[s.first() + FIRST_PERCENTILE + i] =
          none ? Snapshot.ABSENT : joined.getValueAtPercentile(PERCENTILES[i]);
    }
    totals[s.first() + FIRST_PERCENTILE + PERCENTILES.length] =
        none ? Snapshot.ABSENT : joined.getMaxValue();
    if (endsInterval && !none) {
      joined.reset();
    }
  }
}
