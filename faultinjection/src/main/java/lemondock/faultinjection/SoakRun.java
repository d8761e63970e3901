package lemondock.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/** One seeded run: a fleet of processes under load, the faults injected into it, and the audit. */
final class SoakRun {
  private static final long LOAD_MICROS = TimeUnit.SECONDS.toMicros(11);

  /** Wait after the last call, by whose end every reserved state must have been released. */
  private static final long SETTLE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);

  private static final long MEAN_THINK_MICROS = TimeUnit.MILLISECONDS.toMicros(40);

  /** Factor by which the number of clients per gateway grows in a run with a crowd. */
  private static final int CROWD_FACTOR = 4;

  /**
   * Time without faults before a termination with pauses, so that the audits can rely on the links
   * of the streams that are under way.
   */
  private static final long HEALTHY_BEFORE_TERMINATION_MICROS = TimeUnit.SECONDS.toMicros(2);

  /** Number of clients per gateway that come late, in a run with pauses. */
  private static final int LATE_CLIENTS = 6;

  /** The longest deadline of late clients: with a longer one, their calls are rejected. */
  private static final long MAX_LATE_DEADLINE_MILLIS = 500;

  private static final int MAX_LATE_ANSWER_TOKENS = 8;

  private static final long JOIN_TIMEOUT_MILLIS = 20_000;

  /** Size of the range of client seeds of each run; ranges of different runs do not overlap. */
  private static final long CLIENT_SEEDS_PER_RUN = 1_000;

  private final Path project;
  private final Path folder;
  private final Optional<Path> faultLibrary;
  private final long seed;
  private final FaultPlan plan;

  /** Thread-safe: the threads that inject faults add to it. */
  private final Queue<String> rigFailures = new ConcurrentLinkedQueue<>();

  /**
   * Prepares a run.
   *
   * @param project the root of the repository
   * @param folder receives the logs of the gateways and the report
   * @param faultLibrary the library of {@link FaultShim}; without it no faults are injected into
   *     system calls and clocks
   * @param plan drawn from the seed
   */
  SoakRun(Path project, Path folder, Optional<Path> faultLibrary, long seed, FaultPlan plan) {
    this.project = project;
    this.folder = folder;
    this.faultLibrary = faultLibrary;
    this.seed = seed;
    this.plan = plan;
  }

  /** Executes the run, which takes about 15 s, and writes its report. */
  SoakResult execute() throws IOException, InterruptedException {
    Files.createDirectories(folder);
    try (ProcessFleet fleet = new ProcessFleet(plan.shape(), project, folder, faultLibrary, seed)) {
      fleet.start();
      List<LoadClient> clients = createClients(fleet);
      final List<Thread> clientThreads = startAll("client", clients);
      List<Thread> faultThreads = startFaults(fleet);
      MonotonicClock.sleepMicros(LOAD_MICROS);
      join(faultThreads);
      fleet.heal();
      if (plan.termination().happens()) {
        if (!plan.termination().pauses().isEmpty()) {
          MonotonicClock.sleepMicros(HEALTHY_BEFORE_TERMINATION_MICROS);
        }
        List<Thread> pauseThreads = startPauses(fleet);
        join(startTerminators(fleet));
        join(pauseThreads);
      }
      clients.forEach(LoadClient::stop);
      join(clientThreads);
      MonotonicClock.sleepMicros(SETTLE_MICROS);
      SoakResult result = audit(fleet);
      writeReport(result);
      return result;
    }
  }

  private List<LoadClient> createClients(ProcessFleet fleet) {
    int clientsPerGateway = plan.shape().clientsPerGateway() * (plan.crowd() ? CROWD_FACTOR : 1);
    List<LoadClient> clients = new ArrayList<>();
    for (GatewayProcess gateway : fleet.gateways()) {
      for (int i = 0; i < clientsPerGateway; i++) {
        long clientSeed = seed * CLIENT_SEEDS_PER_RUN + clients.size();
        LoadClient.Options options =
            new LoadClient.Options(
                plan.shape().deadlineMs(),
                MEAN_THINK_MICROS,
                clientSeed,
                plan.shape().pace().maxAnswerTokens(),
                false);
        clients.add(new LoadClient(gateway.name() + "-c" + i, gateway, fleet.runRecord(), options));
      }
    }
    if (!plan.termination().pauses().isEmpty()) {
      addLateClients(fleet, clients);
    }
    return clients;
  }

  private void addLateClients(ProcessFleet fleet, List<LoadClient> clients) {
    long deadlineMillis = Math.min(plan.shape().deadlineMs(), MAX_LATE_DEADLINE_MILLIS);
    for (GatewayProcess gateway : fleet.gateways()) {
      for (int i = 0; i < LATE_CLIENTS; i++) {
        long clientSeed = seed * CLIENT_SEEDS_PER_RUN + clients.size();
        LoadClient.Options options =
            new LoadClient.Options(
                deadlineMillis, MEAN_THINK_MICROS, clientSeed, MAX_LATE_ANSWER_TOKENS, true);
        clients.add(
            new LoadClient(gateway.name() + "-late" + i, gateway, fleet.runRecord(), options));
      }
    }
  }

  private static List<Thread> startAll(String name, List<? extends Runnable> tasks) {
    return tasks.stream().map(task -> DaemonThreads.start(name, task)).toList();
  }

  private List<Thread> startFaults(ProcessFleet fleet) {
    long beginMicros = MonotonicClock.nowMicros();
    FaultInjector injector = new FaultInjector(fleet);
    return plan.steps().stream()
        .map(
            step ->
                DaemonThreads.start(
                    "fault-" + step.kind(), () -> injectWhenDue(injector, step, beginMicros)))
        .toList();
  }

  private void injectWhenDue(FaultInjector injector, FaultPlan.Step step, long beginMicros) {
    MonotonicClock.sleepUntil(beginMicros + step.beginMicros());
    try {
      injector.inject(step);
    } catch (IOException | InterruptedException | RuntimeException e) {
      rigFailures.add(step + ": " + e);
    }
  }

  /**
   * Terminates all running gateways at about the same time, each from its own thread, while their
   * clients continue to send calls.
   */
  private List<Thread> startTerminators(ProcessFleet fleet) {
    return fleet.gateways().stream()
        .filter(GatewayProcess::isAlive)
        .map(gateway -> DaemonThreads.start("terminate", () -> terminate(gateway)))
        .toList();
  }

  /** Lets servers pause and go on while the gateways are terminated. */
  private List<Thread> startPauses(ProcessFleet fleet) {
    long beginMicros = MonotonicClock.nowMicros();
    FaultInjector injector = new FaultInjector(fleet);
    return plan.termination().pauses().stream()
        .map(
            pause ->
                DaemonThreads.start(
                    "pause",
                    () -> {
                      MonotonicClock.sleepUntil(beginMicros + pause.beginMicros());
                      injector.pauseServers(pause);
                    }))
        .toList();
  }

  private void terminate(GatewayProcess gateway) {
    TerminationPlan termination = plan.termination();
    long killAfterMillis = plan.shape().killAfterMs() + termination.killDelayMillis();
    try {
      if (termination.signals().isPresent()) {
        gateway.terminate(termination.signals().get(), killAfterMillis);
      } else {
        gateway.terminate(killAfterMillis);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(JOIN_TIMEOUT_MILLIS);
      if (thread.isAlive()) {
        rigFailures.add(thread.getName() + " did not end");
      }
    }
  }

  private SoakResult audit(ProcessFleet fleet) {
    RunRecord runRecord = fleet.runRecord();
    SoakAuditor auditor = new SoakAuditor(runRecord, plan.shape(), fleet);
    List<Breach> breaches = auditor.audit();
    Map<CallOutcome, Integer> outcomes = new EnumMap<>(CallOutcome.class);
    runRecord.calls().forEach(call -> outcomes.merge(call.outcome(), 1, Integer::sum));
    return new SoakResult(
        seed,
        plan,
        outcomes,
        auditor.lateOutcomes(),
        breaches,
        runRecord.stalls().totalMicros(),
        List.copyOf(rigFailures));
  }

  private void writeReport(SoakResult result) throws IOException {
    List<String> lines = new ArrayList<>();
    lines.add(result.toString());
    for (Breach breach : result.breaches()) {
      lines.add(breach.rule() + ": " + breach.description());
    }
    Files.write(folder.resolve("report.txt"), lines);
  }
}
