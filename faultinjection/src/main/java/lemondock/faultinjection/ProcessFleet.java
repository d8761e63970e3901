package lemondock.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Gateways, model servers in three zones and a proxy with a link for each pair of them, put
 * together for one run.
 */
final class ProcessFleet implements AutoCloseable {
  private static final String[] ZONES = {"a", "b", "c"};
  private static final int READER_SLOTS = 4;
  private static final int WRITER_SLOTS = 10;

  /** Calls a second that a warm server's places allow with the mean request. */
  private static final double READER_CAPACITY = 4 / 0.025;

  private static final double WRITER_CAPACITY = 10 / 0.22;
  private static final long MOST_QUEUE = 1_500 * MonotonicClock.MILLI;

  final FleetShape shape;
  final RunRecord truth = new RunRecord();
  final List<ModelServer> servers = new ArrayList<>();
  final List<GatewayProcess> gateways = new ArrayList<>();
  private final FaultProxy proxy = new FaultProxy(truth.stalls);
  private final Map<String, DiscoveryAgent> agents = new LinkedHashMap<>();
  private final Map<String, FaultProxy.Link> discoveries = new LinkedHashMap<>();
  private final Map<String, FaultProxy.Link> links = new LinkedHashMap<>();
  private final Map<String, String> states = new LinkedHashMap<>();
  private final long seed;

  ProcessFleet(FleetShape shape, Path project, Path folder, Optional<Path> library, long seed)
      throws IOException {
    this.shape = shape;
    this.seed = seed;
    for (int i = 0; i < shape.readers() + shape.writers(); i++) {
      boolean reads = i < shape.readers();
      String id = (reads ? "r" : "w") + (reads ? i : i - shape.readers());
      servers.add(
          new ModelServer(
              id,
              ZONES[i % ZONES.length],
              reads,
              reads ? READER_SLOTS : WRITER_SLOTS,
              MOST_QUEUE,
              truth));
      states.put(id, "ready");
      truth.capacities.put(id, reads ? READER_CAPACITY : WRITER_CAPACITY);
    }
    for (int g = 0; g < shape.gateways(); g++) {
      String name = "n" + g;
      Optional<FaultShim> shim =
          library.isEmpty()
              ? Optional.empty()
              : Optional.of(new FaultShim(library.get(), folder, name, seed * 31 + g));
      GatewayProcess gateway = new GatewayProcess(name, project, folder, shim, truth);
      gateways.add(gateway);
      DiscoveryAgent agent = new DiscoveryAgent(name, truth);
      agents.put(name, agent);
      discoveries.put(name, proxy.link(agent.address()));
      for (ModelServer server : servers) {
        links.put(name + "/" + server.id, proxy.link(server.address()));
        tell(name, server);
      }
      configure(gateway);
    }
  }

  private void configure(GatewayProcess gateway) throws IOException {
    gateway.configure(
        shape.config(
            gateway.name,
            gateway.port(),
            discoveries.get(gateway.name).address(),
            agents.get(gateway.name).whole(),
            seed + gateway.port()));
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

  /** Starts a gateway's next process with the list that its agent has now. */
  void restart(GatewayProcess gateway) throws IOException {
    configure(gateway);
    gateway.start();
  }

  /**
   * Moves a gateway's discovery to another address and tells it by SIGHUP; the old address accepts
   * no more.
   */
  void moveDiscovery(GatewayProcess gateway) throws IOException {
    FaultProxy.Link old =
        discoveries.put(gateway.name, proxy.link(agents.get(gateway.name).address()));
    configure(gateway);
    gateway.signal("HUP");
    old.set(FaultProxy.Flow.PASS, FaultProxy.Flow.PASS, FaultProxy.Admission.RESET);
    old.reset();
  }

  FaultProxy.Link discovery(GatewayProcess gateway) {
    return discoveries.get(gateway.name);
  }

  FaultProxy.Link link(String gateway, String server) {
    return links.get(gateway + "/" + server);
  }

  /**
   * Whether neither the link nor the gateway's system calls were made to fail between those
   * moments.
   */
  boolean clean(String gateway, String server, long from, long until) {
    boolean calls =
        gateways.stream()
            .filter(each -> each.name.equals(gateway))
            .flatMap(each -> each.shim().stream())
            .allMatch(shim -> shim.cleanBetween(from, until));
    return calls && link(gateway, server).cleanBetween(from, until);
  }

  /** The links of those gateways to those servers. */
  List<FaultProxy.Link> links(Predicate<GatewayProcess> from, Predicate<ModelServer> to) {
    List<FaultProxy.Link> some = new ArrayList<>();
    for (GatewayProcess gateway : gateways) {
      for (ModelServer server : servers) {
        if (from.test(gateway) && to.test(server)) {
          some.add(link(gateway.name, server.id));
        }
      }
    }
    return some;
  }

  /** The zone that a gateway stands in. */
  String zone(GatewayProcess gateway) {
    return ZONES[gateways.indexOf(gateway) % ZONES.length];
  }

  /** Lists a server in another state at all gateways' agents. */
  void list(ModelServer server, String state) throws IOException {
    states.put(server.id, state);
    for (GatewayProcess gateway : gateways) {
      tell(gateway.name, server);
    }
  }

  private void tell(String gateway, ModelServer server) throws IOException {
    agents
        .get(gateway)
        .list(
            server.id,
            link(gateway, server.id).address(),
            server.zone,
            server.reads ? "r" : "w",
            states.get(server.id),
            server.startedAt());
  }

  /**
   * Kills a server and starts a new process of it at the same address, cold; its gateways learn of
   * the start.
   */
  void restartCold(ModelServer server, long downMicros) throws IOException {
    server.die();
    MonotonicClock.sleep(downMicros);
    truth.starts.add(new RunRecord.Start(server.id, MonotonicClock.now()));
    server.start(System.currentTimeMillis());
    for (GatewayProcess gateway : gateways) {
      link(gateway.name, server.id)
          .upstream(new InetSocketAddress("127.0.0.1", server.address().getPort()));
    }
    list(server, "ready");
  }

  /** Ends every fault of the network and of system calls; clocks stay as they are. */
  void heal() {
    links.values().forEach(FaultProxy.Link::heal);
    discoveries.values().forEach(FaultProxy.Link::heal);
    servers.forEach(server -> server.hang(false));
    gateways.forEach(gateway -> gateway.shim().ifPresent(FaultShim::heal));
  }

  @Override
  public void close() throws IOException {
    gateways.forEach(GatewayProcess::close);
    servers.forEach(ModelServer::close);
    for (DiscoveryAgent agent : agents.values()) {
      agent.close();
    }
    proxy.close();
    truth.stalls.close();
  }
}
