package lemondock.cli;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import lemondock.emulator.EngineSettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.scenario.EmulatedProcess;

/**
 * Registers emulated engines with the service catalogues named in their settings, through Consul's
 * agent API. A failed request is reported on standard error and not retried. Its methods are called
 * from threads other than the event loop of the process.
 */
final class CatalogueRegistrar {
  private static final String SERVICE = "engines";
  private static final byte[] NO_BODY = {};
  private static final long TIMEOUT_MICROS = 1_000_000;
  private static final int MAX_EVENT_BYTES = 1_024;
  private static final int MAX_CONNECTIONS_PER_ADDRESS = 8;

  private final EmulatedProcess process;
  private final HttpClient client;
  private final long startedAtMillis = System.currentTimeMillis();
  private final List<Registration> registrations = new ArrayList<>();

  /** An engine and the address of the catalogue that it is registered with. */
  private record Registration(String engine, InetSocketAddress catalogue) {}

  /** Creates a registrar that uses the event loop and the network of the given process. */
  CatalogueRegistrar(EmulatedProcess process) {
    this.process = process;
    HttpClientOptions options =
        new HttpClientOptions(
            HttpLimits.DEFAULT,
            MAX_EVENT_BYTES,
            MAX_CONNECTIONS_PER_ADDRESS,
            TIMEOUT_MICROS,
            TIMEOUT_MICROS);
    this.client = new HttpClient(process.loop(), process.network(), options);
  }

  /**
   * Registers an engine under its listen address; does nothing if its settings name no catalogue.
   */
  void register(EngineSettings settings, InetSocketAddress engineAddress) {
    if (settings.catalogue() == null) {
      return;
    }
    Registration registration =
        new Registration(settings.name(), SettingsFile.resolveAddress(settings.catalogue()));
    byte[] body = registrationBody(settings, engineAddress);
    process.loop().execute(() -> put(registration.catalogue(), "/v1/agent/service/register", body));
    registrations.add(registration);
  }

  /** Sends a deregistration for each engine and returns without waiting for the responses. */
  void deregisterAll() {
    process.loop().execute(() -> registrations.forEach(this::deregister));
  }

  private void deregister(Registration registration) {
    put(registration.catalogue(), "/v1/agent/service/deregister/" + registration.engine(), NO_BODY);
  }

  private byte[] registrationBody(EngineSettings settings, InetSocketAddress engineAddress) {
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("ID", settings.name())
            .put("Name", SERVICE)
            .put("Address", engineAddress.getHostString())
            .put("Port", engineAddress.getPort());
    body.putObject("Meta")
        .put("kind", settings.kind().isEmpty() ? settings.role() : settings.kind())
        .put("zone", settings.zone())
        .put("rack", settings.rack())
        .put("started", Long.toString(startedAtMillis));
    return body.toString().getBytes(StandardCharsets.UTF_8);
  }

  private void put(InetSocketAddress catalogue, String path, byte[] body) {
    Headers headers =
        Headers.of("host", catalogue.getHostString(), "content-type", "application/json");
    client.send(catalogue, HttpEncoder.request("PUT", path, headers, body), new FailureReporter());
  }

  /** Ignores responses and prints failures to standard error. */
  private static final class FailureReporter implements ResponseReceiver {
    @Override
    public void onComplete() {}

    @Override
    public void onFailure(RequestFailure failure, String cause) {
      System.err.println("lemondock: request to the catalogue failed: " + cause);
    }
  }
}
