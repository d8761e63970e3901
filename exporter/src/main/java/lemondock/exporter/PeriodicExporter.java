package lemondock.exporter;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricRegistry;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.net.Loop;

/**
 * Takes a snapshot of a registry at each tick, hands it to listeners, and at every n-th tick
 * exports it to the destinations. It runs on a loop of its own, so that no request waits for it;
 * all of its methods are for that loop, those that add something also before {@link #start}.
 */
public final class PeriodicExporter {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final int CLOCK_LEAD_FIELD = 0;
  private static final int CLOCK_SET_BACK_FIELD = 1;

  private final Loop loop;
  private final MetricRegistry registry;
  private final Options options;
  private final Recorder recorder;
  private final SnapshotBuffer buffer;
  private final MonotonicTimestamps timestamps;
  private final Series clockSeries;
  private final List<ExportTarget> targets = new ArrayList<>();
  private final List<Consumer<Recorder>> gaugeSources = new ArrayList<>();
  private final List<SnapshotListener> listeners = new ArrayList<>();
  private Loop.Timer tickTimer = () -> {};
  private MetricsSnapshot latestSnapshot = MetricsSnapshot.EMPTY;
  private long latestTimestampMillis;
  private long tickCount;
  private boolean isShuttingDown;

  /**
   * Period and limits.
   *
   * @param tickMicros time between two snapshots
   * @param ticksPerExport every so many snapshots one is exported
   * @param maxBufferedBytes limit on the snapshots that destinations have not taken
   * @param maxBufferedSnapshots limit on the same
   * @param maxClockLeadMicros see {@link MonotonicTimestamps}
   */
  public record Options(
      long tickMicros,
      int ticksPerExport,
      long maxBufferedBytes,
      int maxBufferedSnapshots,
      long maxClockLeadMicros) {}

  /** Is called with each snapshot. */
  public interface SnapshotListener {
    /**
     * A snapshot was taken.
     *
     * @param timestampMillis milliseconds since the epoch
     */
    void onSnapshot(long timestampMillis, MetricsSnapshot snapshot);
  }

  /** A destination and the series of its statistics. */
  private record ExportTarget(Destination destination, Series series) {
    void recordStatistics(Recorder recorder) {
      DestinationStatistics statistics = destination.statistics();
      for (DestinationCounter counter : DestinationCounter.values()) {
        recorder.set(series.slot(counter.ordinal()), statistics.value(counter));
      }
    }
  }

  /** Makes an exporter without destinations. Its recorder belongs to the loop. */
  public PeriodicExporter(Loop loop, MetricRegistry registry, Options options) {
    this.loop = loop;
    this.registry = registry;
    this.options = options;
    this.recorder = registry.newRecorder();
    this.buffer = new SnapshotBuffer(options.maxBufferedBytes(), options.maxBufferedSnapshots());
    this.timestamps = new MonotonicTimestamps(options.maxClockLeadMicros() / MICROS_PER_MILLI);
    this.clockSeries = registry.series(MetricFamilies.EXPORT_CLOCK);
  }

  /** The snapshots to export, for destinations to read. */
  public SnapshotBuffer buffer() {
    return buffer;
  }

  /** Adds a destination. */
  public void addDestination(Destination destination) {
    Series series = registry.series(MetricFamilies.EXPORTS, destination.name());
    targets.add(new ExportTarget(destination, series));
  }

  /** Adds a source that sets gauges before each snapshot, within an update of the recorder. */
  public void addGaugeSource(Consumer<Recorder> source) {
    gaugeSources.add(source);
  }

  /** Adds a listener. */
  public void addSnapshotListener(SnapshotListener listener) {
    listeners.add(listener);
  }

  /** Begins to tick. */
  public void start() {
    scheduleTick();
  }

  private void scheduleTick() {
    tickTimer = loop.schedule(options.tickMicros(), this::onTick);
  }

  private void onTick() {
    scheduleTick(); // first, so that an exception below does not end the ticks
    tickCount++;
    takeSnapshot(tickCount % options.ticksPerExport() == 0);
  }

  private void takeSnapshot(boolean isExported) {
    recordGauges();
    latestSnapshot = isExported ? registry.snapshotAndEndInterval() : registry.snapshot();
    latestTimestampMillis = timestamps.next(loop.now(), loop.wallMillis());
    listeners.forEach(listener -> listener.onSnapshot(latestTimestampMillis, latestSnapshot));
    if (isExported) {
      buffer.append(latestTimestampMillis, latestSnapshot);
    }
    targets.forEach(target -> target.destination().sendPending());
  }

  private void recordGauges() {
    long ticket = recorder.beginUpdate();
    try {
      recorder.set(clockSeries.slot(CLOCK_LEAD_FIELD), timestamps.leadMillis());
      recorder.set(clockSeries.slot(CLOCK_SET_BACK_FIELD), timestamps.clockSetBackCount());
      targets.forEach(target -> target.recordStatistics(recorder));
      gaugeSources.forEach(source -> source.accept(recorder));
    } finally {
      recorder.endUpdate(ticket);
    }
  }

  /** The latest snapshot; an empty one before the first tick. */
  public MetricsSnapshot latestSnapshot() {
    return latestSnapshot;
  }

  /** Notifies the destinations of a change of service, as of the latest snapshot. */
  public void notifyServiceHealth(ServiceHealth health, String message) {
    targets.forEach(
        target -> target.destination().notifyServiceHealth(latestTimestampMillis, health, message));
  }

  /**
   * Takes and exports the final snapshot and closes the destinations; those that do not take it in
   * time are aborted. Calls after the first do nothing.
   *
   * @param timeoutMicros limit for the destinations
   * @param onFinished is called with the final snapshot once all destinations are closed
   */
  public void shutDown(long timeoutMicros, Consumer<MetricsSnapshot> onFinished) {
    if (isShuttingDown) {
      return;
    }
    isShuttingDown = true;
    tickTimer.cancel();
    takeSnapshot(true);
    int[] remaining = {targets.size() + 1}; // one more, so that it ends after the loop below
    Runnable onOneClosed =
        () -> {
          if (--remaining[0] == 0) {
            onFinished.accept(latestSnapshot);
          }
        };
    loop.schedule(timeoutMicros, () -> targets.forEach(target -> target.destination().abort()));
    targets.forEach(target -> target.destination().shutDown(onOneClosed));
    onOneClosed.run();
  }
}
