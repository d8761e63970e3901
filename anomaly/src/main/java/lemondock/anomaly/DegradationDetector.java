package lemondock.anomaly;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Tells promptly that service falls, and where. Each class in each zone has evidence of its own,
 * and so has each zone as a whole: many classes that each lose a little add up there. Counters come
 * in as they stand; the detector takes the differences. No I/O, no clock; one thread. It keeps one
 * cell for each label, which its caller has bounded.
 */
public final class DegradationDetector {
  /** The label of all classes, or all roles, together. */
  public static final String ALL = "all";

  /** Seconds over which it is judged what stands out. */
  private static final int WINDOW = 8;

  private static final long SECOND = 1_000_000;
  private static final double MOST_OF_IT = 0.5;
  private static final double WORSE_THAN_REST = 2.0;
  private static final long LEAST_BAD = 3;

  private final Supplier<DetectionEvidence> evidence;
  private final Map<Key, Cell> cells = new LinkedHashMap<>();
  private final Map<Key, Spread> servers = new LinkedHashMap<>();

  /** A class and the zone in which its requests came in, or a role and the zone of its servers. */
  public record Key(String what, String zone) {}

  /** Counters as they stand: requests that got what was wanted and that did not. */
  public record Count(Key key, long good, long bad) {}

  /**
   * A change.
   *
   * @param began true: service fell; false: it has recovered
   * @param loss share of bad requests over the last seconds
   * @param usual share that counts as usual
   * @param standsOut what else is worse than the rest, in words; empty if nothing is
   */
  public record Change(Key key, boolean began, double loss, double usual, String standsOut) {
    /** One line for a person. */
    public String line() {
      String where = (key.what().equals(ALL) ? "all classes" : key.what()) + " in " + key.zone();
      return began
          ? String.format(
              java.util.Locale.ROOT,
              "service falls: %s loses %.0f %% of its requests, usual are %.0f %%%s",
              where,
              100 * loss,
              100 * usual,
              standsOut.isEmpty() ? "" : "; " + standsOut)
          : String.format(
              java.util.Locale.ROOT,
              "service is back: %s loses %.0f %% of its requests",
              where,
              100 * loss);
    }
  }

  /** What is seen of one cell now. */
  public record Sight(
      Key key, boolean fallen, double level, double loss, long requests, long falls) {}

  /** Counts over the last seconds, a place each. */
  private static class Spread {
    private final long[] goods = new long[WINDOW];
    private final long[] bads = new long[WINDOW];
    private long good;
    private long bad;
    private long newGood;
    private long newBad;
    private long second = Long.MIN_VALUE;

    /**
     * Takes the counters as they stand; ones that went back are those of a new life, which begins
     * at zero.
     */
    void take(long now, long goodNow, long badNow) {
      long to = Math.floorDiv(now, SECOND);
      for (long s = Math.max(second + 1, to - WINDOW + 1); s <= to; s++) {
        goods[(int) Math.floorMod(s, (long) WINDOW)] = 0;
        bads[(int) Math.floorMod(s, (long) WINDOW)] = 0;
      }
      second = to;
      boolean anew = goodNow < good || badNow < bad;
      newGood = anew ? goodNow : goodNow - good;
      newBad = anew ? badNow : badNow - bad;
      goods[(int) Math.floorMod(to, (long) WINDOW)] += newGood;
      bads[(int) Math.floorMod(to, (long) WINDOW)] += newBad;
      good = goodNow;
      bad = badNow;
    }

    long bad() {
      return sum(bads);
    }

    long all() {
      return sum(goods) + sum(bads);
    }

    double loss() {
      return all() == 0 ? 0 : (double) bad() / all();
    }

    private static long sum(long[] of) {
      long sum = 0;
      for (long v : of) {
        sum += v;
      }
      return sum;
    }
  }

  private static final class Cell extends Spread {
    private final DetectionEvidence evidence;
    private long falls;

    Cell(DetectionEvidence evidence) {
      this.evidence = evidence;
    }
  }

  /** Makes a detector; each cell gets evidence of its own. */
  public DegradationDetector(Supplier<DetectionEvidence> evidence) {
    this.evidence = evidence;
  }

  /**
   * Takes the counters as they stand, once a second or so, and tells what changed.
   *
   * @param now microseconds; never goes back
   * @param classes counters by class and zone
   * @param roles counters of attempts by role and zone of servers, which only help to say what
   *     stands out
   */
  public List<Change> observe(long now, List<Count> classes, List<Count> roles) {
    Map<String, long[]> zones = new LinkedHashMap<>();
    for (Count c : classes) {
      cells.computeIfAbsent(c.key(), k -> new Cell(evidence.get())).take(now, c.good(), c.bad());
      long[] sum = zones.computeIfAbsent(c.key().zone(), z -> new long[2]);
      sum[0] += c.good();
      sum[1] += c.bad();
    }
    zones.forEach(
        (zone, sum) ->
            cells
                .computeIfAbsent(new Key(ALL, zone), k -> new Cell(evidence.get()))
                .take(now, sum[0], sum[1]));
    roles.forEach(
        r -> servers.computeIfAbsent(r.key(), k -> new Spread()).take(now, r.good(), r.bad()));
    List<Change> changes = new ArrayList<>();
    cells.forEach(
        (key, cell) -> {
          boolean before = cell.evidence.fallen();
          Spread counts = cell;
          cell.evidence.add(now, counts.newGood, counts.newBad);
          if (cell.evidence.fallen() != before) {
            cell.falls += before ? 0 : 1;
            changes.add(
                new Change(
                    key,
                    !before,
                    cell.loss(),
                    cell.evidence.usualLoss(),
                    before ? "" : standsOut(key)));
          }
        });
    return changes;
  }

  /** What is seen now, cells in the order in which they came. */
  public List<Sight> sights() {
    List<Sight> sights = new ArrayList<>();
    cells.forEach(
        (key, c) ->
            sights.add(
                new Sight(
                    key, c.evidence.fallen(), c.evidence.level(), c.loss(), c.all(), c.falls)));
    return sights;
  }

  /**
   * A class for a zone's fall, and for each fall the servers whose attempts go worst, if they
   * clearly do.
   */
  private String standsOut(Key fallen) {
    List<String> found = new ArrayList<>();
    if (fallen.what().equals(ALL)) {
      Map<Key, Spread> classes = new LinkedHashMap<>();
      cells.forEach(
          (key, c) -> {
            if (!key.what().equals(ALL) && key.zone().equals(fallen.zone())) {
              classes.put(key, c);
            }
          });
      worst(classes).ifPresent(k -> found.add("most of it in class " + k.what()));
    }
    worst(servers)
        .ifPresent(k -> found.add("attempts fail most at " + k.what() + "s in " + k.zone()));
    return String.join(", ", found);
  }

  /** The cell with most of the bad counts, if the rest together does clearly better. */
  private static Optional<Key> worst(Map<Key, ? extends Spread> among) {
    Optional<Key> worst =
        among.keySet().stream().max(Comparator.comparingLong(k -> among.get(k).bad()));
    if (worst.isEmpty() || among.size() < 2) {
      return Optional.empty();
    }
    Spread it = among.get(worst.get());
    long bad = among.values().stream().mapToLong(Spread::bad).sum();
    long all = among.values().stream().mapToLong(Spread::all).sum();
    double rest = all == it.all() ? 0 : (double) (bad - it.bad()) / (all - it.all());
    boolean clearly =
        it.bad() >= LEAST_BAD
            && it.bad() >= MOST_OF_IT * bad
            && it.loss() >= WORSE_THAN_REST * rest;
    return clearly ? worst : Optional.empty();
  }
}
