package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.Tap;
import lemondock.gateway.settings.SettingsFile;
import lemondock.scenario.Node;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a stand-in for a service catalogue. */
@Command(
    name = "catalogue",
    mixinStandardHelpOptions = true,
    description = "Runs a stand-in for the part of Consul's API that lists services.")
final class CatalogueCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings (JSON): {\"listen\": \"HOST:PORT\"}.")
  private Path config;

  /** The settings. */
  record Settings(String listen) {}

  @Override
  public Integer call() throws Exception {
    Logs.set("text", "info");
    JsonNode root = SettingsFile.readJson(config);
    Settings settings =
        SettingsFile.bind(
            config.toString(),
            root,
            "catalogue.schema.json",
            CatalogueCommand.class,
            Settings.class);
    Node node = new Node("catalogue", 1);
    CatalogueEmulator catalogue = node.ask(() -> new CatalogueEmulator(node.loop(), Tap.NONE));
    catalogue.start(node.network(), SettingsFile.resolveAddress(settings.listen()));
    System.out.println(
        "ready http://"
            + catalogue.address().getHostString()
            + ":"
            + catalogue.address().getPort());
    Stops.onSignal(() -> {});
    Stops.await(Long.MAX_VALUE);
    return 0;
  }
}
