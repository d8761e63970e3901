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
 * Takes a snapshot of a registry at each tick, passes it to listeners, and at every n-th tick
 * exports it to the destinations. It runs on a loop of its own, so that no request waits for it.
 * All methods must be called on that loop; those that add something may also be called on another
 * thread before {@link #start}.
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
   * Period and limits of an exporter.
   *
   * @param tickMicros time between two snapshots, in microseconds
   * @param ticksPerExport number of ticks between two exported snapshots
   * @param maxBufferedBytes limit on the encoded size of the snapshots buffered for the
   *     destinations
   * @param maxBufferedSnapshots limit on the number of these snapshots
   * @param maxClockLeadMicros maximum lead of timestamps over the wall clock, in microseconds; see
   *     {@link MonotonicTimestamps}
   */
  public record Options(
      long tickMicros,
      int ticksPerExport,
      long maxBufferedBytes,
      int maxBufferedSnapshots,
      long maxClockLeadMicros) {}

  /** Receives each snapshot. */
  public interface SnapshotListener {
    /**
     * Called after a snapshot was taken.
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

  /** Creates an exporter without destinations. Its recorder is used on the loop only. */
  public PeriodicExporter(Loop loop, MetricRegistry registry, Options options) {
    this.loop = loop;
    this.registry = registry;
    this.options = options;
    this.recorder = registry.newRecorder();
    this.buffer = new SnapshotBuffer(options.maxBufferedBytes(), options.maxBufferedSnapshots());
    this.timestamps = new MonotonicTimestamps(options.maxClockLeadMicros() / MICROS_PER_MILLI);
    this.clockSeries = registry.series(MetricFamilies.EXPORT_CLOCK);
  }

  /** The buffer of the snapshots to export, from which destinations read. */
  public SnapshotBuffer buffer() {
    return buffer;
  }

  /** Adds a destination and a series for its statistics. */
  public void addDestination(Destination destination) {
    Series series = registry.series(MetricFamilies.EXPORTS, destination.name());
    targets.add(new ExportTarget(destination, series));
  }

  /** Adds a source that sets gauges before each snapshot, within one update of the recorder. */
  public void addGaugeSource(Consumer<Recorder> source) {
    gaugeSources.add(source);
  }

  /** Adds a listener that is called for each snapshot, exported or not. */
  public void addSnapshotListener(SnapshotListener listener) {
    listeners.add(listener);
  }

  /** Schedules the first tick. */
  public void start() {
    scheduleTick();
  }

  private void scheduleTick() {
    tickTimer = loop.schedule(options.tickMicros(), this::onTick);
  }

  private void onTick() {
    scheduleTick(); // first, so that an exception below does not stop the ticks
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

  /** Notifies the destinations of a change in service health at the latest snapshot. */
  public void notifyServiceHealth(ServiceHealth health, String message) {
    targets.forEach(
        target -> target.destination().notifyServiceHealth(latestTimestampMillis, health, message));
  }

  /**
   * Takes and exports the final snapshot and closes the destinations; those that are not closed
   * within the timeout are aborted. Calls after the first do nothing.
   *
   * @param timeoutMicros time that the destinations have to close, in microseconds
   * @param onFinished called with the final snapshot once all destinations are closed
   */
  public void shutDown(long timeoutMicros, Consumer<MetricsSnapshot> onFinished) {
    if (isShuttingDown) {
      return;
    }
    isShuttingDown = true;
    tickTimer.cancel();
    takeSnapshot(true);
    // One more than the destinations, for the call at the end of this method: onFinished must not
    // run before all destinations have been told to shut down.
    int[] remainingCount = {targets.size() + 1};
    Runnable onDestinationClosed =
        () -> {
          if (--remainingCount[0] == 0) {
            onFinished.accept(latestSnapshot);
          }
        };
    loop.schedule(timeoutMicros, () -> targets.forEach(target -> target.destination().abort()));
    targets.forEach(target -> target.destination().shutDown(onDestinationClosed));
    onDestinationClosed.run();
  }
}
