package lemondock.anomaly;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Detects degradations of service and the classes, zones and servers that they affect. Each class
 * in each zone has its own {@link ChangeDetector}. Each zone as a whole has one, too, because small
 * losses of many classes add up there. Callers pass in cumulative counters; the detector computes
 * their increases. It keeps state for each scope, and its caller has to limit the number of scopes.
 * Does no I/O and reads no clock. Not thread-safe.
 */
public final class DegradationDetector {
  /** The name of the scope that covers all classes of a zone together. */
  public static final String ALL = "all";

  private final Supplier<ChangeDetector> changeDetectorFactory;
  private final Map<ServiceScope, Monitor> monitors = new LinkedHashMap<>();
  private final Map<ServiceScope, CounterWindow> attemptWindows = new LinkedHashMap<>();

  /** Counters and change detector of one scope of requests. */
  private static final class Monitor {
    final CounterWindow window = new CounterWindow();
    final ChangeDetector changeDetector;
    long degradationCount;

    Monitor(ChangeDetector changeDetector) {
      this.changeDetector = changeDetector;
    }

    /** Observes the latest increase; returns whether service has degraded or recovered with it. */
    boolean detectChange(long nowMicros) {
      boolean wasDegraded = changeDetector.isDegraded();
      changeDetector.observe(nowMicros, window.goodIncrease(), window.badIncrease());
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

  /** Creates a detector; the factory is called once for each scope. */
  public DegradationDetector(Supplier<ChangeDetector> changeDetectorFactory) {
    this.changeDetectorFactory = changeDetectorFactory;
  }

  /**
   * Processes the current values of the cumulative counters; to be called about once a second.
   *
   * @param nowMicros the current time; must not go back
   * @param requests counters of requests by class and zone
   * @param attempts counters of attempts by role and zone of the servers; used only to find
   *     outliers
   * @return the degradations that have started or ended
   */
  public List<DegradationChange> observe(
      long nowMicros, List<EventCounts> requests, List<EventCounts> attempts) {
    requests.forEach(counts -> monitorFor(counts.scope()).window.update(nowMicros, counts));
    sumByZone(requests).forEach(sum -> monitorFor(sum.scope()).window.update(nowMicros, sum));
    attempts.forEach(
        counts ->
            attemptWindows
                .computeIfAbsent(counts.scope(), scope -> new CounterWindow())
                .update(nowMicros, counts));
    List<DegradationChange> changes = new ArrayList<>();
    monitors.forEach(
        (scope, monitor) -> {
          if (monitor.detectChange(nowMicros)) {
            changes.add(newChange(scope, monitor));
          }
        });
    return changes;
  }

  private Monitor monitorFor(ServiceScope scope) {
    return monitors.computeIfAbsent(scope, newScope -> new Monitor(changeDetectorFactory.get()));
  }

  private static List<EventCounts> sumByZone(List<EventCounts> requests) {
    Map<String, EventCounts> sums = new LinkedHashMap<>();
    for (EventCounts counts : requests) {
      String zone = counts.scope().zone();
      EventCounts zoneCounts =
          new EventCounts(new ServiceScope(ALL, zone), counts.good(), counts.bad());
      sums.merge(zone, zoneCounts, EventCounts::plus);
    }
    return List.copyOf(sums.values());
  }

  private DegradationChange newChange(ServiceScope scope, Monitor monitor) {
    boolean isDegraded = monitor.changeDetector.isDegraded();
    return new DegradationChange(
        scope,
        isDegraded,
        monitor.window.lossRatio(),
        monitor.changeDetector.baselineLossRatio(),
        isDegraded ? describeOutliers(scope) : "");
  }

  /** Returns the state of each scope, in the order in which they were first observed. */
  public List<ScopeStatus> scopeStatuses() {
    List<ScopeStatus> statuses = new ArrayList<>();
    monitors.forEach((scope, monitor) -> statuses.add(monitor.status(scope)));
    return statuses;
  }

  /**
   * Describes the outlier among the classes, if the degradation is that of a whole zone, and the
   * outlier among the servers.
   */
  private String describeOutliers(ServiceScope degradedScope) {
    List<String> outliers = new ArrayList<>();
    if (degradedScope.name().equals(ALL)) {
      OutlierFinder.find(classWindows(degradedScope.zone()))
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
