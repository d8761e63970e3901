package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.Optional;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.EngineSettings;
import lemondock.gateway.settings.GatewaySettings;

/** Starts the engines and gateways of a script's fleet. */
final class FleetBuilder {
  private static final long DISCOVERY_TIMEOUT_MS = 10_000;
  private static final double PREFILL_MS = 4;
  private static final double FIRST_TOKEN_MS = 4;
  private static final int ENGINE_QUEUE = 16;
  private static final long ENGINE_MEMORY_TOKENS = 100_000;
  private static final double COLD_SHARE = 0.3;
  private static final double WARM_UP_MS = 3000;

  private final ScenarioScript script;
  private final RouterFactory routerFactory;
  private final Path folder;
  private final Optional<ReportComparison> reports;

  /**
   * Creates a builder; {@link #build} starts the processes.
   *
   * @param folder parent folder of the gateways' idempotency logs
   * @param reports provides the destinations of the gateways' reports; empty for none
   */
  FleetBuilder(
      ScenarioScript script,
      RouterFactory routerFactory,
      Path folder,
      Optional<ReportComparison> reports) {
    this.script = script;
    this.routerFactory = routerFactory;
    this.folder = folder;
    this.reports = reports;
  }

  /** Starts all engines and gateways; returns when every gateway knows every engine. */
  void build(ScenarioFleet fleet) {
    for (String zone : script.zones()) {
      addEngines(fleet, zone, "reader", script.readersPerZone(), script.slots() / 2);
      addEngines(fleet, zone, "writer", script.writersPerZone(), script.slots() * 2);
      addEngines(fleet, zone, "mixed", script.mixedPerZone(), script.slots());
    }
    int number = 0;
    for (String zone : script.zones()) {
      for (int i = 0; i < script.gatewaysPerZone(); i++) {
        GatewaySettings settings = gatewaySettings(fleet, zone, "gw-" + zone + "-" + i, number);
        fleet.addGateway(settings, routerFactory);
        number++;
      }
    }
    for (String gateway : fleet.gateways()) {
      if (!fleet.awaitServers(gateway, fleet.engines().size(), DISCOVERY_TIMEOUT_MS)) {
        throw new IllegalStateException(
            "gateway "
                + gateway
                + " did not list exactly "
                + fleet.engines().size()
                + " engines within "
                + DISCOVERY_TIMEOUT_MS
                + " ms");
      }
    }
  }

  private void addEngines(ScenarioFleet fleet, String zone, String role, int count, int slots) {
    for (int i = 0; i < count; i++) {
      String name = zone + "-" + role + "-" + i;
      fleet.addEngine(
          EngineSettings.quick(name, role, zone, "rack-" + i % 2)
              .withLatencies(PREFILL_MS, FIRST_TOKEN_MS, script.tokenMs())
              .withLimits(Math.max(1, slots), ENGINE_QUEUE, ENGINE_MEMORY_TOKENS)
              .withWarmUp(COLD_SHARE, WARM_UP_MS));
    }
  }

  private GatewaySettings gatewaySettings(
      ScenarioFleet fleet, String zone, String name, int number) {
    int gatewayCount = script.gatewaysPerZone() * script.zones().size();
    return ScenarioSettings.gateway(
        name,
        number,
        gatewayCount,
        zone,
        fleet.reservePort(),
        fleet.catalogueAddress(),
        root -> {
          root.putObject("durable").put("path", folder.resolve(name).toString());
          ObjectNode reporting =
              root.putObject("reporting").put("tickMs", 250).put("intervalMs", 1000);
          reports.ifPresent(comparison -> comparison.addDestinations(reporting));
        });
  }
}
