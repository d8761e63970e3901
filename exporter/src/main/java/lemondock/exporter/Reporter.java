package lemondock.exporter;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondock.metrics.Metrics;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;
import lemondock.metrics.Tally;
import lemondock.net.Loop;

/**
 * Takes snapshots of a tally and hands them to the destinations, on a loop of its own, so that no
 * request waits for it. It looks once a tick and reports once in so many ticks; what listens to
 * {@link #onTick} sees each look.
 */
public final class Reporter {
  private static final long MILLI = 1_000;

  private final Loop loop;
  private final Tally tally;
  private final Options options;
  private final Recorder recorder;
  private final SnapshotRing ring;
  private final Stamps stamps;
  private final Series clock;
  private final List<Destination> destinations = new ArrayList<>();
  private final List<Series> reports = new ArrayList<>();
  private final List<Consumer<Recorder>> gauges = new ArrayList<>();
  private final List<Listener> listeners = new ArrayList<>();
  private Loop.Timer timer = () -> {};
  private Snapshot newest = new Snapshot(List.of(), new long[0]);
  private long ticks;
  private long stamp;
  private boolean finished;

  /**
   * How it reports; times in microseconds.
   *
   * @param tick between two looks
   * @param ticksAReport looks to a report
   * @param ringBytes of snapshots that destinations have not taken
   * @param ringSnapshots of the same
   * @param mostAhead see {@link Stamps}
   */
  public record Options(
      long tick, int ticksAReport, long ringBytes, int ringSnapshots, long mostAhead) {}

  /** Hears of each look. */
  public interface Listener {
    /** A snapshot was taken; {@code stamp} is in milliseconds since the epoch. */
    void looked(long stamp, Snapshot snapshot);
  }

  /** Makes a reporter without destinations. Its recorder is for the loop it runs on. */
  public Reporter(Loop loop, Tally tally, Options options) {
    this.loop = loop;
    this.tally = tally;
    this.options = options;
    this.recorder = tally.recorder();
    this.ring = new SnapshotRing(options.ringBytes(), options.ringSnapshots());
    this.stamps = new Stamps(options.mostAhead() / MILLI);
    this.clock = tally.series(Metrics.CLOCK);
  }

  /** What destinations read from. */
  public SnapshotRing ring() {
    return ring;
  }

  /** Adds a destination; before the start. */
  public void add(Destination destination) {
    destinations.add(destination);
    reports.add(tally.series(Metrics.REPORT, destination.name()));
  }

  /** Adds what sets gauges before each look. */
  public void onGauges(Consumer<Recorder> set) {
    gauges.add(set);
  }

  /** Adds a listener. */
  public void onTick(Listener listener) {
    listeners.add(listener);
  }

  /** Begins; loop thread only. */
  public void start() {
    timer =
        loop.schedule(
            options.tick(),
            () -> {
              start(); // first, so that a failure below does not end it
              look(++ticks % options.ticksAReport() == 0);
            });
  }

  private void look(boolean report) {
    setGauges();
    newest = tally.snapshot(report);
    stamp = stamps.next(loop.now(), loop.wallMillis());
    listeners.forEach(l -> l.looked(stamp, newest));
    if (report) {
      ring.append(stamp, newest);
    }
    destinations.forEach(Destination::pump);
  }

  private void setGauges() {
    long ticket = recorder.enter();
    try {
      recorder.set(clock.slot(0), stamps.ahead());
      recorder.set(clock.slot(1), stamps.setBack());
      for (int i = 0; i < reports.size(); i++) {
        Destination.Figures f = destinations.get(i).figures();
        long[] values = {
          f.snapshots,
          f.dropped,
          f.resent,
          f.bytes,
          f.packets,
          f.lost,
          f.connects,
          f.failures,
          f.ignored,
          f.waiting
        };
        for (int v = 0; v < values.length; v++) {
          recorder.set(reports.get(i).slot(v), values[v]);
        }
      }
      gauges.forEach(g -> g.accept(recorder));
    } finally {
      recorder.exit(ticket);
    }
  }

  /** The newest snapshot; loop thread only. */
  public Snapshot newest() {
    return newest;
  }

  /** Tells destinations that take notices that service fell or is back. */
  public void notice(boolean fell, String line) {
    destinations.forEach(d -> d.notice(stamp, fell, line));
  }

  /**
   * Takes the last snapshot, the process's final tally, sends what waits and closes the
   * destinations; those that cannot take it in time are broken off. Once; loop thread only.
   *
   * @param within microseconds
   * @param done hears the last snapshot when all is over
   */
  public void finish(long within, Consumer<Snapshot> done) {
    if (finished) {
      return;
    }
    finished = true;
    timer.cancel();
    look(true);
    int[] left = {destinations.size() + 1};
    Runnable one =
        () -> {
          if (--left[0] == 0) {
            done.accept(newest);
          }
        };
    loop.schedule(within, () -> destinations.forEach(Destination::stop));
    destinations.forEach(d -> d.finish(one));
    one.run();
  }
}
