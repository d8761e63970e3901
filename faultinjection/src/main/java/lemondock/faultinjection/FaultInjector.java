package lemondock.faultinjection;

import java.io.IOException;
import java.util.List;
import java.util.SplittableRandom;
import lemondock.faultinjection.FaultProxy.Admission;
import lemondock.faultinjection.FaultProxy.Flow;
import lemondock.faultinjection.FaultProxy.Link;

/** Carries out the steps of a plan on a fleet, each on a thread of its own. */
final class FaultInjector {
  private static final long RESET_PAUSE = 80 * MonotonicClock.MILLI;
  private static final long FREEZE = 130 * MonotonicClock.MILLI;
  private static final long FREEZE_PAUSE = 700 * MonotonicClock.MILLI;
  private static final long DOWN = 400 * MonotonicClock.MILLI;
  private static final long HOUR_MILLIS = 3_600_000;
  private static final int SLOWEST_MILLIS = 120;

  private final ProcessFleet fleet;

  FaultInjector(ProcessFleet fleet) {
    this.fleet = fleet;
  }

  /** Begins the fault now, and ends it after its time. */
  void carryOut(FaultPlan.Step step) throws IOException, InterruptedException {
    SplittableRandom random = new SplittableRandom(step.seed());
    GatewayProcess gateway = fleet.gateways.get(random.nextInt(fleet.gateways.size()));
    long until = MonotonicClock.now() + step.lasting();
    switch (step.kind()) {
      case SILENT_WRITERS -> silence(mostOf(false, random), Flow.HOLD, Flow.HOLD, until, random);
      case SILENT_READERS -> silence(mostOf(true, random), Flow.HOLD, Flow.HOLD, until, random);
      case ZONE_CUT ->
          silence(
              fleet.links(
                  each -> each == gateway, server -> !server.zone.equals(fleet.zone(gateway))),
              Flow.HOLD,
              Flow.HOLD,
              until,
              random);
      case ANSWERS_HELD -> silence(someLinks(random), Flow.PASS, Flow.HOLD, until, random);
      case REQUESTS_HELD -> silence(someLinks(random), Flow.HOLD, Flow.PASS, until, random);
      case RESETS -> resets(someLinks(random), until);
      case SLOW_LINKS ->
          slow(
              someLinks(random),
              (1 + random.nextInt(SLOWEST_MILLIS)) * MonotonicClock.MILLI,
              until);
      case REFUSED -> admission(someLinks(random), Admission.RESET, until);
      case HALF_OPEN -> admission(someLinks(random), Admission.HALF_OPEN, until);
      case SERVERS_HANG -> hang(random, until);
      case SERVER_RESTARTS -> fleet.restartCold(anyServer(random), step.lasting() / 4);
      case SERVERS_DRAIN -> drain(random, until);
      case DISCOVERY_SILENT ->
          silence(List.of(fleet.discovery(gateway)), Flow.HOLD, Flow.HOLD, until, random);
      case DISCOVERY_RESET -> resets(List.of(fleet.discovery(gateway)), until);
      case GATEWAY_TERMINATED -> terminate(gateway);
      case GATEWAY_KILLED -> killed(gateway);
      case GATEWAY_FREEZES -> freezes(gateway, until);
      case GATEWAY_RELOADS -> reload(gateway);
      case CLOCK_STEP -> clock(gateway, random);
      case CALLS_FAIL -> callsFail(gateway, random, until);
      case CALLS_INTERRUPTED -> callsInterrupted(gateway, random, until);
      default -> throw new IllegalArgumentException("unknown fault " + step.kind());
    }
  }

  private ModelServer anyServer(SplittableRandom random) {
    return fleet.servers.get(random.nextInt(fleet.servers.size()));
  }

  /** The links of all gateways to four in five servers of a role. */
  private List<Link> mostOf(boolean readers, SplittableRandom random) {
    List<ModelServer> role =
        fleet.servers.stream().filter(server -> server.reads == readers).toList();
    int spared = random.nextInt(role.size());
    return fleet.links(
        gateway -> true,
        server -> role.contains(server) && (role.size() == 1 || server != role.get(spared)));
  }

  private List<Link> someLinks(SplittableRandom random) {
    double share = 0.2 + 0.6 * random.nextDouble();
    return fleet.links(gateway -> true, server -> random.nextDouble() < share);
  }

  private void silence(
      List<Link> links, Flow toServer, Flow toClient, long until, SplittableRandom random) {
    links.forEach(link -> link.set(toServer, toClient, Admission.ACCEPT));
    MonotonicClock.sleepUntil(until);
    if (random.nextBoolean()) {
      links.forEach(Link::reset);
    }
    links.forEach(Link::heal);
  }

  private void resets(List<Link> links, long until) {
    while (MonotonicClock.now() < until) {
      links.forEach(Link::reset);
      MonotonicClock.sleep(RESET_PAUSE);
    }
  }

  private void slow(List<Link> links, long delay, long until) {
    links.forEach(link -> link.delay(delay));
    MonotonicClock.sleepUntil(until);
    links.forEach(Link::heal);
  }

  private void admission(List<Link> links, Admission admission, long until) {
    links.forEach(
        link -> {
          link.set(Flow.PASS, Flow.PASS, admission);
          link.reset();
        });
    MonotonicClock.sleepUntil(until);
    links.forEach(Link::heal);
  }

  private void hang(SplittableRandom random, long until) {
    double share = 0.2 + 0.4 * random.nextDouble();
    List<ModelServer> some =
        fleet.servers.stream().filter(server -> random.nextDouble() < share).toList();
    some.forEach(server -> server.hang(true));
    MonotonicClock.sleepUntil(until);
    some.forEach(server -> server.hang(false));
  }

  private void drain(SplittableRandom random, long until) throws IOException {
    List<ModelServer> some =
        fleet.servers.stream().filter(server -> random.nextInt(4) == 0).toList();
    for (ModelServer server : some) {
      fleet.list(server, "draining");
    }
    MonotonicClock.sleepUntil(until);
    for (ModelServer server : some) {
      fleet.list(server, "ready");
    }
  }

  private void terminate(GatewayProcess gateway) throws IOException, InterruptedException {
    synchronized (gateway) {
      if (gateway.alive()) {
        gateway.terminate(fleet.shape.killAfterMs());
        fleet.restart(gateway);
        gateway.awaitReady();
      }
    }
  }

  private void killed(GatewayProcess gateway) throws IOException, InterruptedException {
    synchronized (gateway) {
      if (gateway.alive()) {
        gateway.kill();
        MonotonicClock.sleep(DOWN);
        fleet.restart(gateway);
        gateway.awaitReady();
      }
    }
  }

  private void freezes(GatewayProcess gateway, long until) {
    while (MonotonicClock.now() < until) {
      synchronized (gateway) {
        gateway.signal("STOP");
        MonotonicClock.sleep(FREEZE);
        gateway.signal("CONT");
      }
      MonotonicClock.sleep(FREEZE_PAUSE);
    }
  }

  private void reload(GatewayProcess gateway) throws IOException {
    synchronized (gateway) {
      if (gateway.alive()) {
        fleet.moveDiscovery(gateway);
      }
    }
  }

  private void clock(GatewayProcess gateway, SplittableRandom random) {
    long size = random.nextBoolean() ? HOUR_MILLIS : 1_000 + random.nextLong(9_000);
    gateway.shim().ifPresent(shim -> shim.wallClockOffset(random.nextBoolean() ? size : -size));
  }

  private void callsFail(GatewayProcess gateway, SplittableRandom random, long until) {
    gateway
        .shim()
        .ifPresent(
            shim -> {
              shim.rate(FaultShim.Fault.ACCEPT, random.nextLong(300_000));
              shim.rate(FaultShim.Fault.SOCKET, random.nextLong(100_000));
              shim.rate(FaultShim.Fault.CONNECT, random.nextLong(300_000));
              shim.rate(FaultShim.Fault.TIMEOUT, random.nextLong(3_000));
              MonotonicClock.sleepUntil(until);
              shim.heal();
            });
  }

  private void callsInterrupted(GatewayProcess gateway, SplittableRandom random, long until) {
    gateway
        .shim()
        .ifPresent(
            shim -> {
              shim.rate(FaultShim.Fault.INTERRUPT, random.nextLong(200_000));
              shim.rate(FaultShim.Fault.SHORTEN, random.nextLong(400_000));
              MonotonicClock.sleepUntil(until);
              shim.heal();
            });
  }
}
