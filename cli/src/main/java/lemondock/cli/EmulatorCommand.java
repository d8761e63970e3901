package lemondock.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficObserver;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import lemondock.scenario.EmulatedProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs emulated prefill and decode engines. */
@Command(
    name = "emulator",
    mixinStandardHelpOptions = true,
    description =
        "Runs emulated engines and registers them with the catalogue that their settings name.")
final class EmulatorCommand implements Callable<Integer> {
  private static final int IO_THREADS = 2;

  /** Time to send the deregistrations before the process exits. */
  private static final int DEREGISTRATION_MILLIS = 300;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings (JSON).")
  private Path config;

  /** The settings of a process of emulated engines. */
  record Settings(List<EngineSettings> engines) {}

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", "info");
    Settings settings = readSettings();
    EmulatedProcess process = new EmulatedProcess("standins", IO_THREADS);
    CatalogueRegistrar registrar = new CatalogueRegistrar(process);
    for (EngineSettings engineSettings : settings.engines()) {
      EngineEmulator engine = startEngine(process, engineSettings);
      System.out.println(
          "ready " + engineSettings.name() + " " + HttpUrl.hostAndPort(engine.address()));
      registrar.register(engineSettings, engine.address());
    }
    ShutdownSignal.beforeExit(
        () -> {
          registrar.deregisterAll();
          Thread.sleep(DEREGISTRATION_MILLIS);
        });
    ShutdownSignal.await();
    return 0;
  }

  private Settings readSettings() throws SettingsException {
    return SettingsFile.bind(
        config.toString(),
        SettingsFile.readJson(config),
        "emulator.schema.json",
        EmulatorCommand.class,
        Settings.class);
  }

  private static EngineEmulator startEngine(EmulatedProcess process, EngineSettings settings)
      throws IOException {
    EngineEmulator engine = process.invokeAndWait(() -> createEngine(process, settings));
    engine.start(process.network());
    return engine;
  }

  private static EngineEmulator createEngine(EmulatedProcess process, EngineSettings settings) {
    return new EngineEmulator(
        process.loop(),
        process.network(),
        settings,
        settings.name().hashCode(),
        TrafficObserver.NONE);
  }
}
