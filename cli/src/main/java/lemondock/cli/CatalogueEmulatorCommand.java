package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondock.emulator.CatalogueEmulator;
import lemondock.emulator.TrafficObserver;
import lemondock.gateway.settings.SettingsFile;
import lemondock.scenario.EmulatedProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an emulated service catalogue. */
@Command(
    name = "catalogue",
    mixinStandardHelpOptions = true,
    description = "Runs an emulator of the part of Consul's API that lists services.")
final class CatalogueEmulatorCommand implements Callable<Integer> {
  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings (JSON): {\"listen\": \"HOST:PORT\"}.")
  private Path config;

  /**
   * The settings of an emulated catalogue.
   *
   * @param listen the address to listen on, as HOST:PORT
   */
  record Settings(String listen) {}

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", "info");
    JsonNode root = SettingsFile.readJson(config);
    Settings settings =
        SettingsFile.bind(
            config.toString(),
            root,
            "catalogue-emulator.schema.json",
            CatalogueEmulatorCommand.class,
            Settings.class);
    EmulatedProcess process = new EmulatedProcess("catalogue", 1);
    CatalogueEmulator catalogue =
        process.invokeAndWait(() -> new CatalogueEmulator(process.loop(), TrafficObserver.NONE));
    catalogue.start(process.network(), SettingsFile.resolveAddress(settings.listen()));
    System.out.println("ready " + HttpUrl.of(catalogue.address()));
    ShutdownSignal.awaitWithoutTask();
    return 0;
  }
}
