package lemondock.faultinjection;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * The fleet of one run: gateways with one discovery agent each, model servers in three zones, and a
 * proxy with one link for each pair of gateway and server and one for each gateway's discovery.
 */
final class ProcessFleet implements AutoCloseable, LinkHealth {
  private static final List<String> ZONES = List.of("a", "b", "c");
  private static final int READER_SLOTS = 4;
  private static final int WRITER_SLOTS = 10;
  private static final double MEAN_READ_SECONDS = 0.025;
  private static final long MAX_QUEUE_MICROS = TimeUnit.MILLISECONDS.toMicros(1_500);

  private final FleetShape shape;
  private final long seed;
  private final RunRecord runRecord = new RunRecord();
  private final FaultProxy proxy = new FaultProxy(runRecord.stalls());
  private final List<ModelServer> servers = new ArrayList<>();
  private final List<GatewayProcess> gateways = new ArrayList<>();

  /** By gateway name; not changed after construction. */
  private final Map<String, DiscoveryAgent> discoveryAgents = new LinkedHashMap<>();

  /** By gateway name. A value is replaced only while the gateway's monitor is held. */
  private final Map<String, ProxyLink> discoveryLinks = new LinkedHashMap<>();

  /** Not changed after construction. */
  private final Map<LinkKey, ProxyLink> links = new LinkedHashMap<>();

  /** By server id. */
  private final Map<String, ListedState> listedStates = new LinkedHashMap<>();

  private record LinkKey(String gatewayName, String serverId) {}

  /**
   * Creates a fleet whose servers are running and whose gateways are not started.
   *
   * @param project the root of the repository, which contains the gateway's program
   * @param folder where the gateways' files are written
   * @param faultLibrary the library of {@link FaultShim}; without it no faults are injected into
   *     system calls and clocks
   */
  ProcessFleet(FleetShape shape, Path project, Path folder, Optional<Path> faultLibrary, long seed)
      throws IOException {
    this.shape = shape;
    this.seed = seed;
    for (int i = 0; i < shape.readers() + shape.writers(); i++) {
      addServer(i);
    }
    for (int i = 0; i < shape.gateways(); i++) {
      String name = "n" + i;
      Optional<FaultShim> shim = Optional.empty();
      if (faultLibrary.isPresent()) {
        shim = Optional.of(new FaultShim(faultLibrary.get(), folder, name, seed * 31 + i));
      }
      addGateway(new GatewayProcess(name, project, folder, shim, runRecord));
    }
  }

  private void addServer(int number) throws IOException {
    boolean isReader = number < shape.readers();
    ServerRole role = isReader ? ServerRole.READER : ServerRole.WRITER;
    String id = role.code() + (isReader ? number : number - shape.readers());
    String zone = ZONES.get(number % ZONES.size());
    int slots = isReader ? READER_SLOTS : WRITER_SLOTS;
    servers.add(
        new ModelServer(
            new ModelServer.Options(id, zone, role, slots, MAX_QUEUE_MICROS, shape.pace()),
            runRecord));
    listedStates.put(id, ListedState.READY);
    double meanSeconds = isReader ? MEAN_READ_SECONDS : shape.pace().meanWriteSeconds();
    runRecord.setServerCapacity(id, slots / meanSeconds);
  }

  private void addGateway(GatewayProcess gateway) throws IOException {
    String name = gateway.name();
    gateways.add(gateway);
    DiscoveryAgent agent = new DiscoveryAgent(name, runRecord);
    discoveryAgents.put(name, agent);
    discoveryLinks.put(name, proxy.createLink(agent.address()));
    for (ModelServer server : servers) {
      links.put(new LinkKey(name, server.id()), proxy.createLink(server.address()));
      updateEndpointList(name, server);
    }
    configure(gateway);
  }

  private void configure(GatewayProcess gateway) throws IOException {
    gateway.configure(
        shape.config(
            gateway.name(),
            gateway.port(),
            discoveryLink(gateway).address(),
            discoveryAgents.get(gateway.name()).fullListJson(),
            seed + gateway.port()));
  }

  FleetShape shape() {
    return shape;
  }

  RunRecord runRecord() {
    return runRecord;
  }

  List<ModelServer> servers() {
    return servers;
  }

  List<GatewayProcess> gateways() {
    return gateways;
  }

  /** Starts all gateways and waits until they are ready. */
  void start() throws IOException, InterruptedException {
    for (GatewayProcess gateway : gateways) {
      gateway.start();
    }
    for (GatewayProcess gateway : gateways) {
      gateway.awaitReady();
    }
  }

  /** Starts a gateway's next process with the current endpoint list of its agent. */
  void restart(GatewayProcess gateway) throws IOException {
    configure(gateway);
    gateway.start();
  }

  /**
   * Moves a gateway's discovery to another address and notifies the gateway by SIGHUP. From then on
   * the old address resets connections.
   */
  void moveDiscovery(GatewayProcess gateway) throws IOException {
    DiscoveryAgent agent = discoveryAgents.get(gateway.name());
    ProxyLink oldLink = discoveryLinks.put(gateway.name(), proxy.createLink(agent.address()));
    configure(gateway);
    gateway.signal("HUP");
    oldLink.setFault(LinkFlow.PASS, LinkFlow.PASS, LinkAdmission.RESET);
    oldLink.reset();
  }

  /** The link of a gateway to its discovery agent. */
  ProxyLink discoveryLink(GatewayProcess gateway) {
    return discoveryLinks.get(gateway.name());
  }

  private ProxyLink link(String gatewayName, String serverId) {
    return links.get(new LinkKey(gatewayName, serverId));
  }

  /** The links from the gateways to the servers that match the filters. */
  List<ProxyLink> links(
      Predicate<GatewayProcess> gatewayFilter, Predicate<ModelServer> serverFilter) {
    List<ProxyLink> matching = new ArrayList<>();
    for (GatewayProcess gateway : gateways) {
      for (ModelServer server : servers) {
        if (gatewayFilter.test(gateway) && serverFilter.test(server)) {
          matching.add(link(gateway.name(), server.id()));
        }
      }
    }
    return matching;
  }

  @Override
  public boolean isHealthyBetween(
      String gatewayName, String serverId, long fromMicros, long untilMicros) {
    return shims(gatewayName).allMatch(shim -> shim.isHealthyBetween(fromMicros, untilMicros))
        && link(gatewayName, serverId).isHealthyBetween(fromMicros, untilMicros);
  }

  @Override
  public boolean keepsConnectionsBetween(
      String gatewayName, String serverId, long fromMicros, long untilMicros) {
    return shims(gatewayName)
            .allMatch(shim -> shim.keepsConnectionsBetween(fromMicros, untilMicros))
        && link(gatewayName, serverId).isHealthyBetween(fromMicros, untilMicros);
  }

  private Stream<FaultShim> shims(String gatewayName) {
    return gateways.stream()
        .filter(gateway -> gateway.name().equals(gatewayName))
        .flatMap(gateway -> gateway.shim().stream());
  }

  /** The zone of a gateway. */
  String zone(GatewayProcess gateway) {
    return ZONES.get(gateways.indexOf(gateway) % ZONES.size());
  }

  /** Changes the state of a server in the endpoint lists of all gateways' agents. */
  void setListedState(ModelServer server, ListedState state) throws IOException {
    listedStates.put(server.id(), state);
    for (GatewayProcess gateway : gateways) {
      updateEndpointList(gateway.name(), server);
    }
  }

  private void updateEndpointList(String gatewayName, ModelServer server) throws IOException {
    discoveryAgents
        .get(gatewayName)
        .update(
            new ListedServer(
                server.id(),
                link(gatewayName, server.id()).address(),
                server.zone(),
                server.role(),
                listedStates.get(server.id()),
                server.startedMillis()));
  }

  /**
   * Crashes a server and, after the given time, starts it cold at the same address. The gateways'
   * endpoint lists then state the new start time.
   */
  void restartCold(ModelServer server, long downMicros) throws IOException {
    server.crash();
    MonotonicClock.sleepMicros(downMicros);
    runRecord.addServerStart(server.id());
    server.start(System.currentTimeMillis());
    for (GatewayProcess gateway : gateways) {
      link(gateway.name(), server.id()).setUpstream(server.address());
    }
    setListedState(server, ListedState.READY);
  }

  /**
   * Ends all faults of the network, all hangs of servers and all failures of system calls. Clock
   * offsets and listed states stay as they are.
   */
  void heal() {
    links.values().forEach(ProxyLink::heal);
    discoveryLinks.values().forEach(ProxyLink::heal);
    servers.forEach(server -> server.setHanging(false));
    gateways.forEach(gateway -> gateway.shim().ifPresent(FaultShim::heal));
  }

  @Override
  public void close() throws IOException {
    gateways.forEach(GatewayProcess::close);
    servers.forEach(ModelServer::close);
    for (DiscoveryAgent agent : discoveryAgents.values()) {
      agent.close();
    }
    proxy.close();
    runRecord.close();
  }
}
