package lemondock.faultinjection;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Injects the faults of a plan into a fleet. Each fault occupies one thread until it has ended.
 * Faults that signal the same gateway exclude each other.
 */
final class FaultInjector {
  private static final long RESET_INTERVAL_MICROS = TimeUnit.MILLISECONDS.toMicros(80);
  private static final long FREEZE_DURATION_MICROS = TimeUnit.MILLISECONDS.toMicros(130);
  private static final long FREEZE_GAP_MICROS = TimeUnit.MILLISECONDS.toMicros(700);
  private static final long RESTART_DELAY_MICROS = TimeUnit.MILLISECONDS.toMicros(400);
  private static final int MAX_LINK_DELAY_MILLIS = 120;
  private static final long HOUR_MILLIS = TimeUnit.HOURS.toMillis(1);
  private static final long MIN_CLOCK_STEP_MILLIS = 1_000;
  private static final long MAX_CLOCK_STEP_MILLIS = 10_000;

  private final ProcessFleet fleet;

  FaultInjector(ProcessFleet fleet) {
    this.fleet = fleet;
  }

  /**
   * Starts the fault now and returns once it has ended. The fault makes all its random choices from
   * the step's seed, in a fixed order.
   */
  void inject(FaultPlan.Step step) throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(step.seed());
    GatewayProcess gateway = fleet.gateways().get(random.nextInt(fleet.gateways().size()));
    long untilMicros = MonotonicClock.nowMicros() + step.durationMicros();
    switch (step.kind()) {
      case SILENT_WRITERS ->
          holdBothDirections(linksToAllButOne(ServerRole.WRITER, random), untilMicros, random);
      case SILENT_READERS ->
          holdBothDirections(linksToAllButOne(ServerRole.READER, random), untilMicros, random);
      case ZONE_CUT -> holdBothDirections(linksToOtherZones(gateway), untilMicros, random);
      case ANSWERS_HELD ->
          hold(randomLinks(random), LinkFlow.PASS, LinkFlow.HOLD, untilMicros, random);
      case REQUESTS_HELD ->
          hold(randomLinks(random), LinkFlow.HOLD, LinkFlow.PASS, untilMicros, random);
      case RESETS -> resetRepeatedly(randomLinks(random), untilMicros);
      case SLOW_LINKS -> delay(randomLinks(random), untilMicros, random);
      case REFUSED -> setAdmission(randomLinks(random), LinkAdmission.RESET, untilMicros);
      case HALF_OPEN -> setAdmission(randomLinks(random), LinkAdmission.HALF_OPEN, untilMicros);
      case SERVERS_HANG -> hangServers(untilMicros, 0.2 + 0.4 * random.nextDouble(), random);
      case SERVER_RESTARTS -> fleet.restartCold(randomServer(random), step.durationMicros() / 4);
      case SERVERS_DRAIN -> drainServers(untilMicros, random);
      case DISCOVERY_SILENT ->
          holdBothDirections(List.of(fleet.discoveryLink(gateway)), untilMicros, random);
      case DISCOVERY_RESET -> resetRepeatedly(List.of(fleet.discoveryLink(gateway)), untilMicros);
      case GATEWAY_TERMINATED -> terminateAndRestart(gateway);
      case GATEWAY_KILLED -> killAndRestart(gateway);
      case GATEWAY_FREEZES -> freezeRepeatedly(gateway, untilMicros);
      case GATEWAY_RELOADS -> reload(gateway);
      case CLOCK_STEP -> stepClock(gateway, random);
      case CALLS_FAIL ->
          failSystemCalls(gateway, untilMicros, shim -> setFailureRates(shim, random));
      case CALLS_INTERRUPTED ->
          failSystemCalls(gateway, untilMicros, shim -> setInterruptionRates(shim, random));
      default -> throw new IllegalArgumentException("unknown fault kind " + step.kind());
    }
  }

  private ModelServer randomServer(SplittableRandom random) {
    return fleet.servers().get(random.nextInt(fleet.servers().size()));
  }

  // ==== links

  /** The links of all gateways to all but one server of a role, or to its only server. */
  private List<ProxyLink> linksToAllButOne(ServerRole role, SplittableRandom random) {
    List<ModelServer> servers =
        fleet.servers().stream().filter(server -> server.role() == role).toList();
    ModelServer excluded = servers.get(random.nextInt(servers.size()));
    return fleet.links(
        gateway -> true,
        server -> servers.contains(server) && (servers.size() == 1 || server != excluded));
  }

  private List<ProxyLink> linksToOtherZones(GatewayProcess gateway) {
    String zone = fleet.zone(gateway);
    return fleet.links(candidate -> candidate == gateway, server -> !server.zone().equals(zone));
  }

  private List<ProxyLink> randomLinks(SplittableRandom random) {
    double share = 0.2 + 0.6 * random.nextDouble();
    return fleet.links(gateway -> true, server -> random.nextDouble() < share);
  }

  private void holdBothDirections(
      List<ProxyLink> links, long untilMicros, SplittableRandom random) {
    hold(links, LinkFlow.HOLD, LinkFlow.HOLD, untilMicros, random);
  }

  /** Holds bytes, and in the end either delivers them or resets their connections. */
  private void hold(
      List<ProxyLink> links,
      LinkFlow flowToServer,
      LinkFlow flowToClient,
      long untilMicros,
      SplittableRandom random) {
    links.forEach(link -> link.setFault(flowToServer, flowToClient, LinkAdmission.ACCEPT));
    MonotonicClock.sleepUntil(untilMicros);
    if (random.nextBoolean()) {
      links.forEach(ProxyLink::reset);
    }
    links.forEach(ProxyLink::heal);
  }

  private void resetRepeatedly(List<ProxyLink> links, long untilMicros) {
    while (MonotonicClock.nowMicros() < untilMicros) {
      links.forEach(ProxyLink::reset);
      MonotonicClock.sleepMicros(RESET_INTERVAL_MICROS);
    }
  }

  private void delay(List<ProxyLink> links, long untilMicros, SplittableRandom random) {
    long delayMillis = 1 + random.nextInt(MAX_LINK_DELAY_MILLIS);
    long delayMicros = TimeUnit.MILLISECONDS.toMicros(delayMillis);
    links.forEach(link -> link.setDelayMicros(delayMicros));
    MonotonicClock.sleepUntil(untilMicros);
    links.forEach(ProxyLink::heal);
  }

  private void setAdmission(List<ProxyLink> links, LinkAdmission admission, long untilMicros) {
    links.forEach(
        link -> {
          link.setFault(LinkFlow.PASS, LinkFlow.PASS, admission);
          link.reset();
        });
    MonotonicClock.sleepUntil(untilMicros);
    links.forEach(ProxyLink::heal);
  }

  // ==== servers

  /** Lets servers pause; returns once they go on. */
  void pauseServers(ServerPause pause) {
    long untilMicros = MonotonicClock.nowMicros() + pause.durationMicros();
    hangServers(untilMicros, pause.share(), new SplittableRandom(pause.seed()));
  }

  private void hangServers(long untilMicros, double share, SplittableRandom random) {
    List<ModelServer> servers =
        fleet.servers().stream().filter(server -> random.nextDouble() < share).toList();
    servers.forEach(server -> server.setHanging(true));
    MonotonicClock.sleepUntil(untilMicros);
    servers.forEach(server -> server.setHanging(false));
  }

  private void drainServers(long untilMicros, SplittableRandom random) throws IOException {
    List<ModelServer> servers =
        fleet.servers().stream().filter(server -> random.nextInt(4) == 0).toList();
    for (ModelServer server : servers) {
      fleet.setListedState(server, ListedState.DRAINING);
    }
    MonotonicClock.sleepUntil(untilMicros);
    for (ModelServer server : servers) {
      fleet.setListedState(server, ListedState.READY);
    }
  }

  // ==== gateways

  private void terminateAndRestart(GatewayProcess gateway)
      throws IOException, InterruptedException {
    synchronized (gateway) {
      if (gateway.isAlive()) {
        gateway.terminate(fleet.shape().killAfterMs());
        fleet.restart(gateway);
        gateway.awaitReady();
      }
    }
  }

  private void killAndRestart(GatewayProcess gateway) throws IOException, InterruptedException {
    synchronized (gateway) {
      if (gateway.isAlive()) {
        gateway.kill();
        MonotonicClock.sleepMicros(RESTART_DELAY_MICROS);
        fleet.restart(gateway);
        gateway.awaitReady();
      }
    }
  }

  private void freezeRepeatedly(GatewayProcess gateway, long untilMicros) {
    while (MonotonicClock.nowMicros() < untilMicros) {
      synchronized (gateway) {
        gateway.signal("STOP");
        MonotonicClock.sleepMicros(FREEZE_DURATION_MICROS);
        gateway.signal("CONT");
      }
      MonotonicClock.sleepMicros(FREEZE_GAP_MICROS);
    }
  }

  private void reload(GatewayProcess gateway) throws IOException {
    synchronized (gateway) {
      if (gateway.isAlive()) {
        fleet.moveDiscovery(gateway);
      }
    }
  }

  private void stepClock(GatewayProcess gateway, SplittableRandom random) {
    long stepMillis =
        random.nextBoolean()
            ? HOUR_MILLIS
            : MIN_CLOCK_STEP_MILLIS
                + random.nextLong(MAX_CLOCK_STEP_MILLIS - MIN_CLOCK_STEP_MILLIS);
    gateway
        .shim()
        .ifPresent(
            shim -> shim.setWallClockOffsetMillis(random.nextBoolean() ? stepMillis : -stepMillis));
  }

  private void failSystemCalls(
      GatewayProcess gateway, long untilMicros, Consumer<FaultShim> rateSetter) {
    gateway
        .shim()
        .ifPresent(
            shim -> {
              rateSetter.accept(shim);
              MonotonicClock.sleepUntil(untilMicros);
              shim.heal();
            });
  }

  private static void setFailureRates(FaultShim shim, SplittableRandom random) {
    shim.setFailureRate(FaultShim.Fault.ACCEPT, random.nextLong(300_000));
    shim.setFailureRate(FaultShim.Fault.SOCKET, random.nextLong(100_000));
    shim.setFailureRate(FaultShim.Fault.CONNECT, random.nextLong(300_000));
    shim.setFailureRate(FaultShim.Fault.TIMEOUT, random.nextLong(3_000));
  }

  private static void setInterruptionRates(FaultShim shim, SplittableRandom random) {
    shim.setFailureRate(FaultShim.Fault.INTERRUPT, random.nextLong(200_000));
    shim.setFailureRate(FaultShim.Fault.SHORTEN, random.nextLong(400_000));
    shim.setFailureRate(FaultShim.Fault.TRANSFER, random.nextLong(100_000));
    shim.setFailureRate(FaultShim.Fault.POLL, random.nextLong(20_000));
    shim.setFailureRate(FaultShim.Fault.OPTION, random.nextLong(300_000));
  }
}
