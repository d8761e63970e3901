package lemondock.gateway;

import java.net.InetSocketAddress;
import lemondock.gateway.discovery.ConsulEndpointList;
import lemondock.gateway.discovery.EndpointListSource;
import lemondock.gateway.discovery.FileEndpointList;
import lemondock.gateway.settings.DiscoveryKind;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServerOptions;

/** Creates the HTTP clients and the options of the HTTP server from the settings. */
final class HttpComponents {
  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_HEADER_BYTES = 32 * 1024;
  private static final int MAX_HEADER_FIELDS = 100;
  private static final long MIN_ENGINE_REPLY_BYTES = 64L * 1024 * 1024;
  private static final int MAX_CATALOGUE_BYTES = 8 * 1024 * 1024;
  private static final int MAX_CATALOGUE_EVENT_BYTES = 1024;
  private static final int MAX_CATALOGUE_CONNECTIONS = 4;

  /**
   * Upper bound of the share of file handles for client connections; the rest is left for
   * connections to engines, without which no answer can be given.
   */
  private static final double CLIENT_HANDLES_FRACTION = 0.5;

  private HttpComponents() {}

  static HttpClient engineClient(Loop loop, Network network, GatewaySettings.Engines settings) {
    return new HttpClient(
        loop,
        network,
        new HttpClientOptions(
            limits(Math.max(settings.maxReplyBytes(), MIN_ENGINE_REPLY_BYTES)),
            settings.maxEventBytes(),
            settings.maxConnectionsPerServer(),
            GatewaySettings.micros(settings.connectTimeoutMs()),
            GatewaySettings.micros(settings.idleMs())));
  }

  static EndpointListSource endpointListSource(
      Loop loop, Network network, GatewaySettings settings, String userAgent) {
    GatewaySettings.Discovery discovery = settings.discovery();
    if (discovery.kind() == DiscoveryKind.FILE) {
      return new FileEndpointList(loop, discovery);
    }
    InetSocketAddress address = SettingsFile.resolveAddress(discovery.address());
    HttpClient client =
        new HttpClient(
            loop,
            network,
            new HttpClientOptions(
                limits(MAX_CATALOGUE_BYTES),
                MAX_CATALOGUE_EVENT_BYTES,
                MAX_CATALOGUE_CONNECTIONS,
                GatewaySettings.micros(settings.engines().connectTimeoutMs()),
                GatewaySettings.micros(discovery.waitMs())));
    return new ConsulEndpointList(loop, client, address, discovery, userAgent);
  }

  static HttpServerOptions serverOptions(GatewaySettings settings, GatewayEnvironment environment) {
    GatewaySettings.Front front = settings.front();
    double clientHandles = environment.resources().maxFileHandles() * CLIENT_HANDLES_FRACTION;
    return HttpServerOptions.builder()
        .limits(limits(front.maxBodyBytes()))
        .maxConnections((int) Math.min(front.maxConnections(), clientHandles))
        .maxBufferedBodyBytes(front.maxBodiesBytes())
        .idleTimeoutMicros(GatewaySettings.micros(front.idleTimeoutMs()))
        .requestTimeoutMicros(GatewaySettings.micros(front.requestTimeoutMs()))
        .stallTimeoutMicros(GatewaySettings.micros(front.stallTimeoutMs()))
        .heavyBodies(settings.overload().heavyBytes(), environment.workers())
        .build();
  }

  private static HttpLimits limits(long maxBodyBytes) {
    return new HttpLimits(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_HEADER_FIELDS, maxBodyBytes);
  }
}
