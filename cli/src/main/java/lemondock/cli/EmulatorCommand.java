package lemondock.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.emulator.EngineEmulator;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficObserver;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.scenario.EmulatedProcess;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs emulated engines (readers and writers). */
@Command(
    name = "emulator",
    mixinStandardHelpOptions = true,
    description = "Runs emulated engines, registered with a catalogue if one is named.")
final class EmulatorCommand implements Callable<Integer> {
  private static final long SECOND_MICROS = 1_000_000;
  private static final int STOP_WAIT_MS = 300;

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
    Settings settings =
        SettingsFile.bind(
            config.toString(),
            SettingsFile.readJson(config),
            "emulator.schema.json",
            EmulatorCommand.class,
            Settings.class);
    EmulatedProcess node = new EmulatedProcess("standins", 2);
    HttpClient client =
        new HttpClient(
            node.loop(),
            node.network(),
            new HttpClientOptions(HttpLimits.DEFAULT, 1024, 8, SECOND_MICROS, SECOND_MICROS));
    List<Runnable> deregistrations = new ArrayList<>();
    long started = System.currentTimeMillis();
    for (EngineSettings engineSettings : settings.engines()) {
      EngineEmulator engine =
          node.invokeAndWait(
              () ->
                  new EngineEmulator(
                      node.loop(),
                      node.network(),
                      engineSettings,
                      engineSettings.name().hashCode(),
                      TrafficObserver.NONE));
      engine.start(node.network());
      System.out.println(
          "ready "
              + engineSettings.name()
              + " "
              + engine.address().getHostString()
              + ":"
              + engine.address().getPort());
      if (engineSettings.catalogue() != null) {
        InetSocketAddress at = SettingsFile.resolveAddress(engineSettings.catalogue());
        node.loop()
            .execute(
                () ->
                    put(
                        client,
                        at,
                        "/v1/agent/service/register",
                        registration(engineSettings, engine, started)));
        deregistrations.add(
            () ->
                put(
                    client,
                    at,
                    "/v1/agent/service/deregister/" + engineSettings.name(),
                    new byte[0]));
      }
    }
    ShutdownSignal.beforeExit(
        () -> {
          node.loop().execute(() -> deregistrations.forEach(Runnable::run));
          Thread.sleep(STOP_WAIT_MS);
        });
    ShutdownSignal.await(Long.MAX_VALUE);
    return 0;
  }

  private static byte[] registration(
      EngineSettings settings, EngineEmulator engine, long startedAtMs) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("ID", settings.name())
            .put("Name", "engines")
            .put("Address", engine.address().getHostString())
            .put("Port", engine.address().getPort());
    body.putObject("Meta")
        .put("kind", settings.kind().isEmpty() ? settings.role() : settings.kind())
        .put("zone", settings.zone())
        .put("rack", settings.rack())
        .put("started", Long.toString(startedAtMs));
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private static void put(HttpClient client, InetSocketAddress to, String path, byte[] body) {
    client.send(
        to,
        HttpEncoder.request(
            "PUT",
            path,
            Headers.of("host", to.getHostString(), "content-type", "application/json"),
            body),
        new ResponseReceiver() {
          @Override
          public void onComplete() {}

          @Override
          public void onFailure(RequestFailure failure, String what) {
            System.err.println("lemondock: the catalogue cannot be told: " + what);
          }
        });
  }
}
