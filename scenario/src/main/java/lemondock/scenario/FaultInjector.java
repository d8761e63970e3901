package lemondock.scenario;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.EngineFaults;

/**
 * Adds the faults of a script to the timetable. The engines and gateways that a fault hits are
 * drawn when the fault is scheduled, in the script's order; only {@link FaultKind#FORGET} draws
 * them when it begins.
 */
final class FaultInjector {
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MAX_CATALOGUE_REMOVAL_DELAY_MICROS = 250_000;
  private static final int GRADUAL_STEPS = 6;
  private static final double RESTART_AFTER_AGEING_MS = 400;
  private static final double MAX_GATEWAY_KILL_MS = 1200;
  private static final double ROLLING_KILL_MS = 400;
  private static final double ROLLING_KILL_INTERVAL_MS = 700;
  private static final double MAX_OCCUPIED_SHARE = 0.9;
  private static final double OUTAGE_MARGIN_MS = 50;
  private static final double DRAIN_LISTED_AFTER_MS = 150;
  private static final double DEPLOY_RESTART_MS = 200;
  private static final double DEPLOY_INTERVAL_MS = 300;
  private static final int BREAK_AFTER_TOKENS = 3;

  private final ScenarioScript script;
  private final SplittableRandom random;
  private final ScenarioFleet fleet;
  private final ClientLoad load;
  private final Timetable timetable;
  private final Map<String, Double> downUntilMs = new HashMap<>();

  FaultInjector(
      ScenarioScript script,
      SplittableRandom random,
      ScenarioFleet fleet,
      ClientLoad load,
      Timetable timetable) {
    this.script = script;
    this.random = random;
    this.fleet = fleet;
    this.load = load;
    this.timetable = timetable;
  }

  /** Schedules all faults of the script. */
  void schedule() {
    script.faults().forEach(this::schedule);
  }

  private void schedule(ScriptedFault fault) {
    switch (fault.kind()) {
      case FAST_ERRORS, SLOW, SHARED_SLOW, ANSWER_LOST, SILENT, STATES_LOST, STREAM_BREAK ->
          scheduleEngineFault(fault);
      case FORGET ->
          timetable.add(
              fault.atMs(),
              () ->
                  runOnEmulators(
                      () ->
                          pickEngines(fault)
                              .forEach(name -> fleet.engine(name).clearPrefixCache())));
      case AGEING -> scheduleAgeing(fault);
      case NEIGHBOUR -> scheduleNeighbour(fault);
      case CRASH -> scheduleCrash(pickEngines(fault), fault.atMs(), fault.forMs());
      case DEPLOY -> scheduleDeploy(fault);
      case ZONE_LOSS -> scheduleZoneLoss(fault);
      case GATEWAY_KILL, GATEWAYS_ROLL, GATEWAY_FREEZE, GATEWAY_BUSY -> scheduleGatewayFault(fault);
      case GIVE_UP ->
          scheduleSpan(
              fault,
              () -> load.setAdditionalAbandonShare(fault.size() / 2),
              () -> load.setAdditionalAbandonShare(0));
      case HOT_OPENING ->
          scheduleSpan(
              fault,
              () -> load.conversations().setHotSystemPrompt(true),
              () -> load.conversations().setHotSystemPrompt(false));
      case LIST_FAILS -> scheduleCatalogueFault(fault, CatalogueEmulator::setFailing);
      case LIST_EMPTY -> scheduleCatalogueFault(fault, CatalogueEmulator::setEmpty);
      default -> throw new IllegalArgumentException("unknown kind of fault: " + fault.kind());
    }
  }

  /** Schedules the action that begins a fault and the one that ends it. */
  private void scheduleSpan(ScriptedFault fault, Runnable begin, Runnable end) {
    timetable.add(fault.atMs(), begin);
    timetable.add(fault.endMs(), end);
  }

  private void scheduleCatalogueFault(
      ScriptedFault fault, BiConsumer<CatalogueEmulator, Boolean> setter) {
    scheduleSpan(
        fault,
        () -> runOnEmulators(() -> setter.accept(fleet.catalogue(), true)),
        () -> runOnEmulators(() -> setter.accept(fleet.catalogue(), false)));
  }

  // Faults during which the engines stay up.

  private void scheduleEngineFault(ScriptedFault fault) {
    double size = fault.size();
    switch (fault.kind()) {
      case FAST_ERRORS ->
          setDuring(fault, pickEngines(fault), f -> f.errorShare = size, f -> f.errorShare = 0);
      case SLOW ->
          setDuring(fault, pickEngines(fault), f -> f.slowdown = size, f -> f.slowdown = 1);
      case SHARED_SLOW ->
          setDuring(fault, fleet.engines(), f -> f.slowdown = size / 2 + 1, f -> f.slowdown = 1);
      case ANSWER_LOST ->
          setDuring(
              fault, pickEngines(fault), f -> f.lostAnswerShare = size, f -> f.lostAnswerShare = 0);
      case SILENT ->
          setDuring(fault, pickEngines(fault), f -> f.silent = true, f -> f.silent = false);
      case STATES_LOST ->
          setDuring(
              fault,
              pickEngines(fault, "reader"),
              f -> f.losesStates = true,
              f -> f.losesStates = false);
      case STREAM_BREAK ->
          setDuring(
              fault,
              pickEngines(fault, "writer"),
              f -> f.breakAfterTokens = BREAK_AFTER_TOKENS,
              f -> f.breakAfterTokens = -1);
      default ->
          throw new IllegalArgumentException("not a fault of running engines: " + fault.kind());
    }
  }

  private void setDuring(
      ScriptedFault fault,
      List<String> engines,
      Consumer<EngineFaults> set,
      Consumer<EngineFaults> clear) {
    scheduleSpan(fault, () -> changeFaults(engines, set), () -> changeFaults(engines, clear));
  }

  private void changeFaults(List<String> engines, Consumer<EngineFaults> change) {
    runOnEmulators(() -> engines.forEach(name -> change.accept(fleet.engine(name).faults())));
  }

  private void runOnEmulators(Runnable task) {
    fleet.emulators().loop().execute(task);
  }

  /** Slows engines down step by step, then crashes them and restarts them cold. */
  private void scheduleAgeing(ScriptedFault fault) {
    List<String> engines = pickEngines(fault);
    for (int step = 1; step <= GRADUAL_STEPS; step++) {
      double factor = 1 + (fault.size() - 1) * step / GRADUAL_STEPS;
      timetable.add(
          fault.atMs() + fault.forMs() * (step - 1) / GRADUAL_STEPS,
          () -> changeFaults(engines, f -> f.slowdown = factor));
    }
    scheduleCrash(engines, fault.endMs(), RESTART_AFTER_AGEING_MS);
  }

  /** Slows engines down on and off, as another program on their machines would. */
  private void scheduleNeighbour(ScriptedFault fault) {
    List<String> engines = pickEngines(fault);
    double factor = 1 / Math.max(0.1, 1 - fault.size());
    for (int step = 0; step < GRADUAL_STEPS; step++) {
      double stepFactor = step % 2 == 0 ? factor : 1;
      timetable.add(
          fault.atMs() + fault.forMs() * step / GRADUAL_STEPS,
          () -> changeFaults(engines, f -> f.slowdown = stepFactor));
    }
    timetable.add(fault.endMs(), () -> changeFaults(engines, f -> f.slowdown = 1));
  }

  // Faults that stop, pause or occupy processes.

  private void scheduleCrash(List<String> engines, double atMs, double forMs) {
    long removalDelayMicros =
        Math.min(MAX_CATALOGUE_REMOVAL_DELAY_MICROS, (long) (forMs * MICROS_PER_MILLI / 2));
    for (String name : engines) {
      if (reserveOutage(name, atMs, atMs + forMs)) {
        timetable.add(atMs, () -> fleet.crashEngine(name, removalDelayMicros));
        timetable.add(atMs + forMs, () -> fleet.restartEngine(name));
      }
    }
  }

  /**
   * A rolling deployment: each engine drains, the catalogue lists it as draining with a delay, and
   * it is stopped and restarted cold.
   */
  private void scheduleDeploy(ScriptedFault fault) {
    double atMs = fault.atMs();
    for (String name : pickEngines(fault)) {
      double stopAtMs = atMs + DRAIN_LISTED_AFTER_MS + fault.forMs();
      double restartAtMs = stopAtMs + DEPLOY_RESTART_MS;
      if (reserveOutage(name, atMs, restartAtMs)) {
        if (fault.size() >= 0.5) { // the engine rejects work before it is listed as draining
          timetable.add(atMs, () -> changeFaults(List.of(name), f -> f.rejectsAll = true));
        }
        timetable.add(atMs + DRAIN_LISTED_AFTER_MS, () -> fleet.setEngineDraining(name, true));
        timetable.add(stopAtMs, () -> fleet.crashEngine(name, 0));
        timetable.add(restartAtMs, () -> fleet.restartEngine(name));
        atMs += DEPLOY_INTERVAL_MS;
      }
    }
  }

  private void scheduleZoneLoss(ScriptedFault fault) {
    String zone = script.zones().get(random.nextInt(script.zones().size()));
    List<String> engines = fleet.engines().stream().filter(name -> name.startsWith(zone)).toList();
    scheduleCrash(engines, fault.atMs(), fault.forMs());
    fleet.gateways().stream()
        .filter(name -> name.startsWith("gw-" + zone))
        .forEach(name -> scheduleGatewayKill(name, fault.atMs(), fault.forMs()));
  }

  private void scheduleGatewayFault(ScriptedFault fault) {
    switch (fault.kind()) {
      case GATEWAY_KILL ->
          scheduleGatewayKill(
              pickGateway(), fault.atMs(), Math.min(fault.forMs(), MAX_GATEWAY_KILL_MS));
      case GATEWAYS_ROLL -> {
        double atMs = fault.atMs();
        for (String name : fleet.gateways()) {
          scheduleGatewayKill(name, atMs, ROLLING_KILL_MS);
          atMs += ROLLING_KILL_INTERVAL_MS;
        }
      }
      case GATEWAY_FREEZE -> {
        String name = pickGateway();
        if (reserveOutage(name, fault.atMs(), fault.endMs())) {
          scheduleSpan(fault, () -> fleet.pauseGateway(name), () -> fleet.resumeGateway(name));
        }
      }
      case GATEWAY_BUSY -> {
        String name = pickGateway();
        double share = Math.min(MAX_OCCUPIED_SHARE, fault.size());
        long micros = (long) (fault.forMs() * MICROS_PER_MILLI);
        timetable.add(fault.atMs(), () -> fleet.occupyGateway(name, share, micros));
      }
      default -> throw new IllegalArgumentException("not a fault of a gateway: " + fault.kind());
    }
  }

  private void scheduleGatewayKill(String name, double atMs, double forMs) {
    if (reserveOutage(name, atMs, atMs + forMs)) {
      timetable.add(atMs, () -> fleet.killGateway(name));
      timetable.add(atMs + forMs, () -> fleet.startGateway(name));
    }
  }

  /** Whether the process is up at {@code fromMs}; if so, marks it as down until {@code untilMs}. */
  private boolean reserveOutage(String name, double fromMs, double untilMs) {
    if (downUntilMs.getOrDefault(name, -1.0) >= fromMs) {
      return false;
    }
    downUntilMs.put(name, untilMs + OUTAGE_MARGIN_MS);
    return true;
  }

  // Random choices of what a fault hits.

  private List<String> pickEngines(ScriptedFault fault) {
    return pick(fault.part(), fleet.engines());
  }

  private List<String> pickEngines(ScriptedFault fault, String role) {
    return pick(
        fault.part(), fleet.engines().stream().filter(name -> name.contains(role)).toList());
  }

  private List<String> pick(double share, List<String> names) {
    List<String> remaining = new ArrayList<>(names);
    int count = Math.max(1, (int) Math.round(share * remaining.size()));
    List<String> picked = new ArrayList<>();
    while (picked.size() < count) {
      picked.add(remaining.remove(random.nextInt(remaining.size())));
    }
    return picked;
  }

  private String pickGateway() {
    List<String> gateways = fleet.gateways();
    return gateways.get(random.nextInt(gateways.size()));
  }
}
