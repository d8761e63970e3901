package lemondock.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.emulator.EngineSettings;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.ScenarioFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** A whole service on loopback. */
@Command(
    name = "demo",
    mixinStandardHelpOptions = true,
    description = "Runs two gateways, a catalogue and emulated engines in two zones on loopback.")
final class DemoCommand implements Callable<Integer> {
  private static final String[] ZONES = {"north", "south"};

  @Option(
      names = "--port",
      defaultValue = "0",
      description = "The first gateway's port; 0 takes a free one.")
  private int port;

  @Option(
      names = "--seconds",
      defaultValue = "0",
      description = "Ends by itself after so long; 0: by a signal.")
  private long seconds;

  @Option(
      names = "--report",
      arity = "0..1",
      fallbackValue = "127.0.0.1",
      paramLabel = "HOST",
      description =
          "Reports to Graphite (plaintext, port 2003) and collectd (network plugin, port"
              + " 25826) of a host.")
  private String report;

  @Option(names = "--graphite-port", defaultValue = "2003", hidden = true)
  private int graphitePort;

  @Option(names = "--collectd-port", defaultValue = "25826", hidden = true)
  private int collectdPort;

  @Option(names = "--log", defaultValue = "warn", description = "error, warn, info or debug.")
  private String level;

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", level);
    List<GatewaySettings.ClassSettings> classes =
        LoopbackSettings.gateway("model", 0, 1, "north", 1, "127.0.0.1:1", s -> {}).classes();
    ScenarioFleet fleet = new ScenarioFleet(classes, 1);
    for (String zone : ZONES) {
      fleet.addEngine(
          EngineSettings.quick(zone + "-reader-1", "reader", zone, "r1").withLatencies(5, 5, 20));
      fleet.addEngine(
          EngineSettings.quick(zone + "-reader-2", "reader", zone, "r2").withLatencies(5, 5, 20));
      fleet.addEngine(
          EngineSettings.quick(zone + "-writer-1", "writer", zone, "r1").withLatencies(5, 5, 20));
      fleet.addEngine(
          EngineSettings.quick(zone + "-writer-2", "writer", zone, "r2").withLatencies(5, 5, 20));
    }
    fleet.addEngine(
        EngineSettings.quick("north-mixed-1", "mixed", "north", "r1").withLatencies(5, 5, 20));
    int first = port == 0 ? fleet.reservePort() : port;
    int second = fleet.reservePort();
    for (int i = 0; i < ZONES.length; i++) {
      fleet.addGateway(
          LoopbackSettings.gateway(
              "gw-" + ZONES[i],
              i,
              ZONES.length,
              ZONES[i],
              i == 0 ? first : second,
              fleet.catalogueAddress(),
              settings -> addReporting(settings, fleet.reservePort())),
          Gateway.DEFAULT_ROUTER_FACTORY);
    }
    for (String gateway : fleet.gateways()) {
      if (!fleet.awaitServers(gateway, fleet.engines().size(), 10_000)) {
        throw new IllegalStateException(gateway + " does not see its servers");
      }
    }
    System.out.println("ready http://127.0.0.1:" + first + "/mcp");
    for (String gateway : fleet.gateways()) {
      System.err.println(
          "status of "
              + gateway
              + ": bin/lemondock status 127.0.0.1:"
              + fleet.reporting(gateway).statusAddress().orElseThrow().getPort());
    }
    System.err.println("the second gateway is at http://127.0.0.1:" + second + "/mcp");
    ShutdownSignal.beforeExit(
        () -> {
          for (String gateway : fleet.gateways()) {
            fleet.stopGateway(gateway);
          }
        });
    ShutdownSignal.await(seconds > 0 ? seconds : Long.MAX_VALUE);
    return 0;
  }

  private void addReporting(ObjectNode settings, int statusPort) {
    ObjectNode reporting =
        settings
            .putObject("reporting")
            .put("listen", "127.0.0.1:" + statusPort)
            .put("intervalMs", 1000);
    if (report != null) {
      reporting
          .putArray("destinations")
          .addObject()
          .put("name", "graphite")
          .put("kind", "graphite")
          .put("address", report + ":" + graphitePort);
      reporting
          .withArray("destinations")
          .addObject()
          .put("name", "collectd")
          .put("kind", "collectd")
          .put("address", report + ":" + collectdPort)
          .put("maxBackoffMs", 2000);
    }
  }
}
