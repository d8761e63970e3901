package lemondock.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.emulator.EngineSettings;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.ScenarioFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a complete service on loopback: gateways, a catalogue and engines in two zones. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = "Runs two gateways, a catalogue and emulated engines in two zones on loopback.")
final class DemoCommand implements Callable<Integer> {
  private static final List<String> ZONES = List.of("north", "south");
  private static final List<String> RACKS = List.of("r1", "r2");
  private static final double READ_MILLIS = 5;
  private static final double FIRST_TOKEN_MILLIS = 5;
  private static final double TOKEN_MILLIS = 20;
  private static final long FLEET_SEED = 1;
  private static final long SERVERS_TIMEOUT_MILLIS = 10_000;
  private static final int REPORT_INTERVAL_MILLIS = 1_000;
  private static final int COLLECTD_MAX_BACKOFF_MILLIS = 2_000;

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "The first gateway's port; 0: any free port.")
  private int port;

  @Option(
      names = "--seconds",
      defaultValue = "0",
      description = "Seconds to run; 0: until a signal.")
  private long seconds;

  @Option(
      names = "--report",
      arity = "0..1",
      fallbackValue = "127.0.0.1",
      paramLabel = "HOST",
      description =
          "Reports to Graphite (plaintext, port 2003) and collectd (network plugin, port"
              + " 25826) on a host.")
  private String reportHost;

  @Option(names = "--graphite-port", defaultValue = "2003", hidden = true)
  private int graphitePort;

  @Option(names = "--collectd-port", defaultValue = "25826", hidden = true)
  private int collectdPort;

  @Option(names = "--log", defaultValue = "warn", description = "error, warn, info or debug.")
  private String level;

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", level);
    ScenarioFleet fleet = new ScenarioFleet(requestClasses(), FLEET_SEED);
    addEngines(fleet);
    int firstPort = port == 0 ? fleet.reservePort() : port;
    int secondPort = fleet.reservePort();
    addGateways(fleet, List.of(firstPort, secondPort));
    awaitServers(fleet);
    printAddresses(fleet, firstPort, secondPort);
    ShutdownSignal.beforeExit(() -> stopGateways(fleet));
    awaitEnd();
    return 0;
  }

  /** Returns the default request classes of the gateways' settings. */
  private static List<GatewaySettings.ClassSettings> requestClasses() {
    return LoopbackSettings.gateway("model", 0, 1, "north", 1, "127.0.0.1:1", settings -> {})
        .classes();
  }

  private static void addEngines(ScenarioFleet fleet) {
    for (String zone : ZONES) {
      for (String role : List.of("reader", "writer")) {
        for (int i = 0; i < RACKS.size(); i++) {
          fleet.addEngine(engine(zone + "-" + role + "-" + (i + 1), role, zone, RACKS.get(i)));
        }
      }
    }
    fleet.addEngine(engine("north-mixed-1", "mixed", "north", "r1"));
  }

  private static EngineSettings engine(String name, String role, String zone, String rack) {
    return EngineSettings.quick(name, role, zone, rack)
        .withLatencies(READ_MILLIS, FIRST_TOKEN_MILLIS, TOKEN_MILLIS);
  }

  /** Adds one gateway per zone; the ports are in the order of {@link #ZONES}. */
  private void addGateways(ScenarioFleet fleet, List<Integer> ports) {
    for (int i = 0; i < ZONES.size(); i++) {
      GatewaySettings settings =
          LoopbackSettings.gateway(
              "gw-" + ZONES.get(i),
              i,
              ZONES.size(),
              ZONES.get(i),
              ports.get(i),
              fleet.catalogueAddress(),
              json -> addReporting(json, fleet.reservePort()));
      fleet.addGateway(settings, Gateway.DEFAULT_ROUTER_FACTORY);
    }
  }

  private void addReporting(ObjectNode settings, int statusPort) {
    ObjectNode reporting =
        settings
            .putObject("reporting")
            .put("listen", "127.0.0.1:" + statusPort)
            .put("intervalMs", REPORT_INTERVAL_MILLIS);
    if (reportHost == null) {
      return;
    }
    ArrayNode destinations = reporting.putArray("destinations");
    addDestination(destinations, "graphite", graphitePort);
    addDestination(destinations, "collectd", collectdPort)
        .put("maxBackoffMs", COLLECTD_MAX_BACKOFF_MILLIS);
  }

  private ObjectNode addDestination(ArrayNode destinations, String kind, int destinationPort) {
    return destinations
        .addObject()
        .put("name", kind)
        .put("kind", kind)
        .put("address", reportHost + ":" + destinationPort);
  }

  private static void awaitServers(ScenarioFleet fleet) {
    for (String gateway : fleet.gateways()) {
      if (!fleet.awaitServers(gateway, fleet.engines().size(), SERVERS_TIMEOUT_MILLIS)) {
        throw new IllegalStateException(
            "gateway "
                + gateway
                + " did not discover all servers in "
                + SERVERS_TIMEOUT_MILLIS
                + " ms");
      }
    }
  }

  /**
   * Prints the first gateway's URL to standard output, where scripts wait for it, and the other
   * addresses to standard error for the user.
   */
  private static void printAddresses(ScenarioFleet fleet, int firstPort, int secondPort) {
    System.out.println("ready http://127.0.0.1:" + firstPort + "/mcp");
    for (String gateway : fleet.gateways()) {
      int statusPort = fleet.reporting(gateway).statusAddress().orElseThrow().getPort();
      System.err.println("status of " + gateway + ": bin/lemondock status 127.0.0.1:" + statusPort);
    }
    System.err.println("the second gateway listens on http://127.0.0.1:" + secondPort + "/mcp");
  }

  private static void stopGateways(ScenarioFleet fleet) {
    for (String gateway : fleet.gateways()) {
      fleet.stopGateway(gateway);
    }
  }

  private void awaitEnd() throws InterruptedException {
    if (seconds > 0) {
      ShutdownSignal.await(Duration.ofSeconds(seconds));
    } else {
      ShutdownSignal.await();
    }
  }
}
