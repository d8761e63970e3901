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
import lemondock.emulator.Tap;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpLimits;
import lemondock.scenario.Node;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs stand-ins for model servers. */
@Command(
    name = "standin",
    mixinStandardHelpOptions = true,
    description = "Runs stand-ins for model servers, registered with a catalogue if one is named.")
final class StandinCommand implements Callable<Integer> {
  private static final long MICROS = 1_000_000;
  private static final int STOP_WAIT_MS = 300;

  @Option(
      names = "--config",
      required = true,
      paramLabel = "FILE",
      description = "Settings (JSON).")
  private Path config;

  /** The settings of a process of stand-ins. */
  record Settings(List<EngineSettings> engines) {}

  @Override
  public Integer call() throws Exception {
    Logs.set("text", "info");
    Settings settings =
        SettingsFile.bind(
            config.toString(),
            SettingsFile.readJson(config),
            "standin.schema.json",
            StandinCommand.class,
            Settings.class);
    Node node = new Node("standins", 2);
    HttpClient client =
        new HttpClient(
            node.loop(),
            node.network(),
            new HttpClient.Options(HttpLimits.DEFAULT, 1024, 8, MICROS, MICROS));
    List<Runnable> leaving = new ArrayList<>();
    long started = System.currentTimeMillis();
    for (EngineSettings e : settings.engines()) {
      EngineEmulator engine =
          node.ask(
              () ->
                  new EngineEmulator(
                      node.loop(), node.network(), e, e.name().hashCode(), Tap.NONE));
      engine.start(node.network());
      System.out.println(
          "ready "
              + e.name()
              + " "
              + engine.address().getHostString()
              + ":"
              + engine.address().getPort());
      if (e.catalogue() != null) {
        InetSocketAddress at = SettingsFile.resolveAddress(e.catalogue());
        node.loop()
            .execute(
                () ->
                    put(
                        client,
                        at,
                        "/v1/agent/service/register",
                        registration(e, engine, started)));
        leaving.add(() -> put(client, at, "/v1/agent/service/deregister/" + e.name(), new byte[0]));
      }
    }
    Stops.onSignal(
        () -> {
          node.loop().execute(() -> leaving.forEach(Runnable::run));
          Thread.sleep(STOP_WAIT_MS);
        });
    Stops.await(Long.MAX_VALUE);
    return 0;
  }

  private static byte[] registration(EngineSettings e, EngineEmulator engine, long started) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("ID", e.name())
            .put("Name", "engines")
            .put("Address", engine.address().getHostString())
            .put("Port", engine.address().getPort());
    body.putObject("Meta")
        .put("kind", e.kind().isEmpty() ? e.role() : e.kind())
        .put("zone", e.zone())
        .put("rack", e.rack())
        .put("started", Long.toString(started));
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
        new HttpClient.Receiver() {
          @Override
          public void done() {}

          @Override
          public void failed(HttpClient.Failure failure, String what) {
            System.err.println("lemondock: the catalogue cannot be told: " + what);
          }
        });
  }
}
