package lemondock.tally;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.HdrHistogram.Histogram;

/**
 * All that is counted in a process. Threads count in {@link Recorder}s of their own; a snapshot merges them on the thread
 * that asks for it. Series are made once and kept by those who count, so no look-up happens while counting.
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
    private long refused;

    /**
     * Makes an empty tally; the bounds are on top of those of single dimensions, for all of them together.
     *
     * @param mostSlots values at the most
     */
    public Tally(int mostSlots) {
        this.mostSlots = mostSlots;
        this.mostSeries = mostSlots;
        this.totals = new long[mostSlots];
    }

    /** A recorder for one thread. */
    public Recorder recorder() {
        Recorder recorder = new Recorder(mostSlots, mostSeries);
        recorders.add(recorder);
        return recorder;
    }

    /**
     * The series of a family under the labels, made if it is new; any thread. Where all slots are taken the labels become
     * {@link BoundedNames#OTHER}, for which one slot row a family is kept back.
     */
    public synchronized Series series(Family family, String... labels) {
        if (labels.length != family.dimensions().size()) {
            throw new IllegalArgumentException(family.name() + " has the dimensions " + family.dimensions() + ", found "
                    + Arrays.toString(labels));
        }
        Map<List<String>, Series> known = made.computeIfAbsent(family, f -> new HashMap<>());
        List<String> key = List.of(labels);
        Series found = known.get(key);
        if (found != null) {
            return found;
        }
        if (slots + family.fields().size() > mostSlots - keptBack(family, known)) {
            refused++;
            String[] others = new String[labels.length];
            Arrays.fill(others, BoundedNames.OTHER);
            key = List.of(others);
            found = known.get(key);
            if (found != null) {
                return found;
            }
            if (slots + family.fields().size() > mostSlots) {
                throw new IllegalStateException("no slot is left for " + family.name() + "; raise the bound of "
                        + mostSlots);
            }
        }
        found = new Series(series.size(), family, key, slots);
        slots += family.fields().size();
        series.add(found);
        known.put(key, found);
        return found;
    }

    private int keptBack(Family family, Map<List<String>, Series> known) {
        int rows = Metrics.ALL.stream().filter(f -> !f.equals(family) && !f.dimensions().isEmpty())
                .mapToInt(f -> f.fields().size()).sum();
        return rows + (known.isEmpty() ? 0 : family.fields().size());
    }

    /** How often a series was refused for want of slots. */
    public synchronized long refused() {
        return refused;
    }

    /**
     * Merges what all threads have counted; one caller at a time, on any thread, without stopping any of them.
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
            totals[s.first() + FIRST_PERCENTILE + i] = none ? Snapshot.ABSENT
                    : joined.getValueAtPercentile(PERCENTILES[i]);
        }
        totals[s.first() + FIRST_PERCENTILE + PERCENTILES.length] = none ? Snapshot.ABSENT : joined.getMaxValue();
        if (endsInterval && !none) {
            joined.reset();
        }
    }
}
