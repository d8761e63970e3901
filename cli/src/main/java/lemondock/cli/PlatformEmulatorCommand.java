package lemondock.cli;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import lemondock.emulator.PlatformEmulator;
import lemondock.scenario.EmulatedProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs an emulated platform for a gateway started as {@code lemondock platform-gateway}. */
@Command(
    name = "platform-emulator",
    mixinStandardHelpOptions = true,
    description =
        "Runs emulated readers, writers and discovery for 'lemondock platform-gateway', and"
            + " writes a configuration for it.")
final class PlatformEmulatorCommand implements Callable<Integer> {
  @Option(
      names = "--config-out",
      required = true,
      paramLabel = "FILE",
      description = "File to write the gateway's configuration to.")
  private Path configFile;

  @Option(
      names = "--listen",
      defaultValue = "127.0.0.1:8000",
      paramLabel = "HOST:PORT",
      description = "Address that the gateway listens on (default: ${DEFAULT-VALUE}).")
  private String listen;

  @Option(
      names = "--readers",
      defaultValue = "2",
      paramLabel = "N",
      description = "Number of readers (default: ${DEFAULT-VALUE}).")
  private int readers;

  @Option(
      names = "--writers",
      defaultValue = "2",
      paramLabel = "N",
      description = "Number of writers (default: ${DEFAULT-VALUE}).")
  private int writers;

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", "info");
    EmulatedProcess process = new EmulatedProcess("platform", 1);
    PlatformEmulator platform =
        process.invokeAndWait(() -> new PlatformEmulator(process.loop(), process.network()));
    platform.start(readers, writers);
    Files.writeString(configFile, platform.config(listen).toPrettyString());
    System.out.println("ready: bin/lemondock-platform " + configFile);
    ShutdownSignal.awaitWithoutTask();
    return 0;
  }
}
