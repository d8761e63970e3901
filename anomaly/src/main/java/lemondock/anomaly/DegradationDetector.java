package lemondock.anomaly;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Detects degradations of service and where they are. Each class in each zone has a {@link
 * ChangeDetector} of its own, and so has each zone as a whole, where small losses of many classes
 * add up. Counters are passed in as they stand; the detector takes their differences. It keeps
 * state for each scope, the number of which its caller has to bound. No I/O, no clock. Not
 * thread-safe.
 */
public final class DegradationDetector {
  /** The name of the scope of all classes of a zone together. */
  public static final String ALL = "all";

  private final Supplier<ChangeDetector> changeDetectorFactory;
  private final Map<ServiceScope, Monitor> monitors = new LinkedHashMap<>();
  private final Map<ServiceScope, CounterWindow> attemptWindows = new LinkedHashMap<>();

  /** What is known of one scope of requests. */
  private static final class Monitor {
    final CounterWindow window = new CounterWindow();
    final ChangeDetector changeDetector;
    long degradationCount;

    Monitor(ChangeDetector changeDetector) {
      this.changeDetector = changeDetector;
    }

    /** Passes on the latest increase; whether service has degraded or recovered by it. */
    boolean detectChange(long nowMicros) {
      boolean wasDegraded = changeDetector.isDegraded();
      changeDetector.observe(nowMicros, window.newGood(), window.newBad());
      boolean isDegraded = changeDetector.isDegraded();
      degradationCount += isDegraded && !wasDegraded ? 1 : 0;
      return isDegraded != wasDegraded;
    }

    ScopeStatus status(ServiceScope scope) {
      return new ScopeStatus(
          scope,
          changeDetector.isDegraded(),
          changeDetector.evidence(),
          window.lossRatio(),
          window.total(),
          degradationCount);
    }
  }

  /** Makes a detector; the factory is called for each scope. */
  public DegradationDetector(Supplier<ChangeDetector> changeDetectorFactory) {
    this.changeDetectorFactory = changeDetectorFactory;
  }

  /**
   * Takes the counters as they stand, about once a second.
   *
   * @param nowMicros the current time; must not go back
   * @param requests counters of requests by class and zone
   * @param attempts counters of attempts by role and zone of the servers, which serve only to name
   *     outliers
   * @return the degradations that have started or ended
   */
  public List<DegradationChange> observe(
      long nowMicros, List<EventCounts> requests, List<EventCounts> attempts) {
    requests.forEach(counts -> monitor(counts.scope()).window.update(nowMicros, counts));
    sumByZone(requests).forEach(sum -> monitor(sum.scope()).window.update(nowMicros, sum));
    attempts.forEach(
        counts ->
            attemptWindows
                .computeIfAbsent(counts.scope(), scope -> new CounterWindow())
                .update(nowMicros, counts));
    List<DegradationChange> changes = new ArrayList<>();
    monitors.forEach(
        (scope, monitor) -> {
          if (monitor.detectChange(nowMicros)) {
            changes.add(change(scope, monitor));
          }
        });
    return changes;
  }

  private Monitor monitor(ServiceScope scope) {
    return monitors.computeIfAbsent(scope, s -> new Monitor(changeDetectorFactory.get()));
  }

  private static List<EventCounts> sumByZone(List<EventCounts> requests) {
    Map<String, EventCounts> sums = new LinkedHashMap<>();
    for (EventCounts counts : requests) {
      String zone = counts.scope().zone();
      EventCounts ofZone =
          new EventCounts(new ServiceScope(ALL, zone), counts.good(), counts.bad());
      sums.merge(zone, ofZone, EventCounts::plus);
    }
    return List.copyOf(sums.values());
  }

  private DegradationChange change(ServiceScope scope, Monitor monitor) {
    boolean isDegraded = monitor.changeDetector.isDegraded();
    return new DegradationChange(
        scope,
        isDegraded,
        monitor.window.lossRatio(),
        monitor.changeDetector.baselineLossRatio(),
        isDegraded ? outliers(scope) : "");
  }

  /** The state of each scope, in the order in which they were first observed. */
  public List<ScopeStatus> scopeStatuses() {
    List<ScopeStatus> statuses = new ArrayList<>();
    monitors.forEach((scope, monitor) -> statuses.add(monitor.status(scope)));
    return statuses;
  }

  /** The outlier among the classes, for a whole zone, and the one among the servers. */
  private String outliers(ServiceScope degraded) {
    List<String> outliers = new ArrayList<>();
    if (degraded.name().equals(ALL)) {
      OutlierFinder.find(classWindows(degraded.zone()))
          .ifPresent(scope -> outliers.add("most of it in class " + scope.name()));
    }
    OutlierFinder.find(attemptWindows)
        .ifPresent(
            scope ->
                outliers.add("attempts fail most at " + scope.name() + "s in " + scope.zone()));
    return String.join(", ", outliers);
  }

  private Map<ServiceScope, CounterWindow> classWindows(String zone) {
    Map<ServiceScope, CounterWindow> windows = new LinkedHashMap<>();
    monitors.forEach(
        (scope, monitor) -> {
          if (!scope.name().equals(ALL) && scope.zone().equals(zone)) {
            windows.put(scope, monitor.window);
          }
        });
    return windows;
  }
}
