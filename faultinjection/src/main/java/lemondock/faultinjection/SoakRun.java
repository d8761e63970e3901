package lemondock.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import lemondock.faultinjection.RunRecord.Outcome;

/** One seeded run: a fleet under load, its faults, and the audit. */
final class SoakRun {
  private static final long LOAD = 11 * MonotonicClock.SECOND;

  /** After the last call: whatever is held must have been released by then. */
  private static final long SETTLE = 1_500 * MonotonicClock.MILLI;

  private static final long THINK = 40 * MonotonicClock.MILLI;
  private static final int CROWD_TIMES = 4;
  private static final long JOIN_MILLIS = 20_000;

  private final Path project;
  private final Path folder;
  private final Optional<Path> library;
  private final long seed;
  private final FaultPlan plan;
  private final ConcurrentLinkedQueue<String> troubles = new ConcurrentLinkedQueue<>();

  /** What came of a run. */
  record Result(
      long seed,
      FaultPlan plan,
      Map<Outcome, Integer> outcomes,
      List<SoakAuditor.Breach> breaches,
      long stalledMicros,
      List<String> troubles) {
    @Override
    public String toString() {
      return "seed "
          + seed
          + ": "
          + (breaches.isEmpty() ? "kept" : "BROKEN " + breaches.size())
          + " "
          + outcomes
          + (plan.crowd() ? " crowd" : "")
          + (plan.termination() ? " terminated" : "")
          + " machine stalled "
          + stalledMicros / MonotonicClock.MILLI
          + " ms "
          + plan.steps()
          + " "
          + plan.shape()
          + (troubles.isEmpty() ? "" : " rig: " + troubles);
    }
  }

  SoakRun(Path project, Path folder, Optional<Path> library, long seed) {
    this.project = project;
    this.folder = folder;
    this.library = library;
    this.seed = seed;
    this.plan = FaultPlan.draw(seed);
  }

  /** Plays it; logs of the gateways and the breaches are left in its folder. */
  Result play() throws IOException, InterruptedException {
    Files.createDirectories(folder);
    try (ProcessFleet fleet = new ProcessFleet(plan.shape(), project, folder, library, seed)) {
      fleet.start();
      List<LoadClient> clients = clients(fleet);
      final List<Thread> load = clients.stream().map(client -> begun(client, "client")).toList();
      List<Thread> faults = faults(fleet);
      MonotonicClock.sleep(LOAD);
      join(faults);
      fleet.heal();
      List<Thread> endings = plan.termination() ? terminations(fleet) : List.of();
      join(endings);
      clients.forEach(LoadClient::stop);
      join(load);
      MonotonicClock.sleep(SETTLE);
      return audited(fleet);
    }
  }

  private List<LoadClient> clients(ProcessFleet fleet) {
    int each = plan.shape().clientsPerGateway() * (plan.crowd() ? CROWD_TIMES : 1);
    List<LoadClient> clients = new ArrayList<>();
    for (GatewayProcess gateway : fleet.gateways) {
      for (int i = 0; i < each; i++) {
        clients.add(
            new LoadClient(
                gateway.name + "-c" + i,
                gateway,
                fleet.truth,
                plan.shape(),
                THINK,
                seed * 1_000 + clients.size()));
      }
    }
    return clients;
  }

  private List<Thread> faults(ProcessFleet fleet) {
    long begin = MonotonicClock.now();
    FaultInjector injector = new FaultInjector(fleet);
    return plan.steps().stream()
        .map(
            step ->
                begun(
                    () -> {
                      MonotonicClock.sleepUntil(begin + step.at());
                      try {
                        injector.carryOut(step);
                      } catch (IOException | InterruptedException | RuntimeException e) {
                        troubles.add(step + ": " + e);
                      }
                    },
                    "fault-" + step.kind()))
        .toList();
  }

  /** All gateways are told to end, one soon after another, while their clients go on. */
  private List<Thread> terminations(ProcessFleet fleet) {
    return fleet.gateways.stream()
        .filter(GatewayProcess::alive)
        .map(
            gateway ->
                begun(
                    () -> {
                      try {
                        gateway.terminate(plan.shape().killAfterMs());
                      } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                      }
                    },
                    "terminate"))
        .toList();
  }

  private static Thread begun(Runnable task, String name) {
    Thread thread = new Thread(null, task, name, 256 * 1024);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  private void join(List<Thread> threads) throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(JOIN_MILLIS);
      if (thread.isAlive()) {
        troubles.add(thread.getName() + " did not end");
      }
    }
  }

  private Result audited(ProcessFleet fleet) throws IOException {
    SoakAuditor auditor = new SoakAuditor(fleet.truth, plan.shape(), fleet::clean);
    List<SoakAuditor.Breach> breaches = auditor.audit();
    Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);
    fleet.truth.calls.values().forEach(call -> outcomes.merge(call.outcome, 1, Integer::sum));
    Result result =
        new Result(
            seed, plan, outcomes, breaches, fleet.truth.stalls.total(), List.copyOf(troubles));
    List<String> report = new ArrayList<>(List.of(result.toString()));
    breaches.forEach(breach -> report.add(breach.rule() + ": " + breach.what()));
    Files.write(folder.resolve("report.txt"), report);
    return result;
  }
}
