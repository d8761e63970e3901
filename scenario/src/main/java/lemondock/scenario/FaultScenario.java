package lemondock.scenario;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.idempotency.FileSystemPort;

/**
 * Plays a script on real sockets: a fleet of gateways and emulated engines in zones, clients with
 * conversations, tool calls and retries, and faults at the scripted times. The seed determines the
 * traffic and what the faults hit, but not how threads and sockets interleave, so two runs with the
 * same seed differ in detail. One thread configures and plays a scenario, and plays it only once.
 */
public final class FaultScenario {
  private static final double MAX_SETTLE_SECONDS = 4.5;
  private static final long SETTLE_POLL_MS = 20;

  /**
   * Longer than any state may stay reserved, so that a state that is still reserved after this time
   * has been leaked.
   */
  private static final long STATE_RELEASE_MS = 700;

  private final ScenarioScript script;
  private final RouterFactory routerFactory;
  private final SplittableRandom random;
  private UnaryOperator<FileSystemPort> fileSystemDecorator = UnaryOperator.identity();
  private Optional<ReportComparison> reports = Optional.empty();
  private SnapshotListener snapshotListener = (gateway, atMicros, snapshot) -> {};

  /** Creates a scenario whose gateways use the routers of a factory. */
  public FaultScenario(ScenarioScript script, RouterFactory routerFactory) {
    this.script = script;
    this.routerFactory = routerFactory;
    this.random = new SplittableRandom(script.seed() * 31 + 7);
  }

  /** Creates a scenario with the default router. */
  public FaultScenario(ScenarioScript script) {
    this(script, Gateway.DEFAULT_ROUTER_FACTORY);
  }

  /** Makes the gateways report, and compares the received values with their final metrics. */
  public FaultScenario compareReports(ReportComparison comparison) {
    reports = Optional.of(comparison);
    return this;
  }

  /** Sets the receiver of the gateways' metrics snapshots. */
  public FaultScenario onSnapshot(SnapshotListener listener) {
    snapshotListener = listener;
    return this;
  }

  /** Sets a decorator for the file systems of the gateways' idempotency logs. */
  public FaultScenario decorateFileSystem(UnaryOperator<FileSystemPort> decorator) {
    fileSystemDecorator = decorator;
    return this;
  }

  /** Plays the scenario and checks the five rules. */
  public ScenarioResult play() throws InterruptedException {
    try {
      Path folder = Files.createTempDirectory("lemondock-day");
      try {
        return playIn(folder);
      } finally {
        deleteRecursively(folder);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void deleteRecursively(Path folder) throws IOException {
    try (Stream<Path> paths = Files.walk(folder)) {
      for (Path path : paths.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(path);
      }
    }
  }

  private ScenarioResult playIn(Path folder) throws InterruptedException {
    final long startNanos = System.nanoTime();
    try (ScenarioFleet fleet = new ScenarioFleet(ScenarioSettings.requestClasses(), script.seed());
        EmulatedProcess clientProcess = new EmulatedProcess("clients", 2)) {
      fleet.onSnapshot(snapshotListener);
      fleet.decorateFileSystem(fileSystemDecorator);
      new FleetBuilder(script, routerFactory, folder, reports).build(fleet);
      ClientLoad load = new ClientLoad(script, random, fleet, clientProcess);
      Timetable timetable = new Timetable();
      new FaultInjector(script, random, fleet, load, timetable).schedule();
      load.scheduleArrivals(timetable);
      timetable.run();
      settle(load);
      long endMicros = clientProcess.loop().now();
      reports.ifPresent(comparison -> comparison.compare(fleet));
      return result(fleet, load.callRecords(), endMicros, startNanos);
    }
  }

  /** Waits for calls that are still open, at most 4.5 s, and then for states still reserved. */
  private static void settle(ClientLoad load) throws InterruptedException {
    long deadlineNanos = System.nanoTime() + (long) (MAX_SETTLE_SECONDS * 1e9);
    while (load.openCalls() > 0 && System.nanoTime() < deadlineNanos) {
      TimeUnit.MILLISECONDS.sleep(SETTLE_POLL_MS);
    }
    TimeUnit.MILLISECONDS.sleep(STATE_RELEASE_MS);
  }

  private ScenarioResult result(
      ScenarioFleet fleet, List<CallRecord> calls, long endMicros, long startNanos) {
    GatewaySettings sharedSettings = ScenarioSettings.sharedSettings();
    ScenarioRecording recording =
        new ScenarioRecording(
            sharedSettings,
            fleet.engineSettings(),
            fleet.events(),
            calls,
            fleet.kills(),
            fleet.pauses(),
            endMicros);
    return new ScenarioResult(
        script,
        ScenarioAuditor.check(recording),
        ServiceStatistics.valueInTimeShares(sharedSettings.classes(), calls),
        ServiceStatistics.outcomeCounts(calls),
        calls.size(),
        countEngineRequests(fleet.events()),
        (System.nanoTime() - startNanos) / 1e9,
        calls);
  }

  private static int countEngineRequests(List<TrafficEvent> events) {
    return (int)
        events.stream()
            .filter(
                event ->
                    event.kind() == TrafficEvent.Kind.PREFILL
                        || event.kind() == TrafficEvent.Kind.DECODE)
            .count();
  }
}
