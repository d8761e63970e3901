package lemondock.gateway.discovery;

import java.net.InetSocketAddress;
import java.util.List;
import lemondock.dispatch.Endpoint;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.BufferingReceiver;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpCall;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.RequestFailure;

/**
 * Follows a service in a catalogue by Consul's health API with blocking queries: each query names
 * the index seen last and is answered when that is passed or the wait is over. An index that goes
 * back starts anew, as Consul's pages say.
 */
public final class ConsulEndpointList implements EndpointListSource {
  /** Consul adds up to a sixteenth of the wait; the rest is for the way. */
  private static final double WAIT_JITTER_FACTOR = 17.0 / 16;

  private static final long NETWORK_ALLOWANCE_MICROS = 2_000_000;

  private final Loop loop;
  private final HttpClient client;
  private final InetSocketAddress address;
  private final GatewaySettings.Discovery settings;
  private final String userAgent;
  private Listener listener;
  private long lastIndex;
  private long backoffMicros;
  private boolean stopped;
  private HttpCall call;
  private Loop.Timer timer = () -> {};

  /** Makes a follower; {@code userAgent} is what the catalogue sees as User-Agent. */
  public ConsulEndpointList(
      Loop loop,
      HttpClient client,
      InetSocketAddress address,
      GatewaySettings.Discovery settings,
      String userAgent) {
    this.loop = loop;
    this.client = client;
    this.address = address;
    this.settings = settings;
    this.userAgent = userAgent;
  }

  @Override
  public void start(Listener listener) {
    this.listener = listener;
    query();
  }

  @Override
  public void refresh() {
    // a query is always in flight or about to be repeated
  }

  @Override
  public void stop() {
    stopped = true;
    timer.cancel();
    if (call != null) {
      call.cancel();
    }
  }

  private void query() {
    if (stopped) {
      return;
    }
    String target =
        "/v1/health/service/"
            + settings.service()
            + "?index="
            + lastIndex
            + "&wait="
            + Math.round(settings.waitMs())
            + "ms";
    CatalogueResponse answer = new CatalogueResponse();
    call =
        client.send(
            address,
            HttpEncoder.request(
                "GET",
                target,
                Headers.of(
                    "host",
                    address.getHostString() + ":" + address.getPort(),
                    "accept",
                    "application/json",
                    "user-agent",
                    userAgent),
                new byte[0]),
            answer);
    timer =
        loop.schedule(
            (long) (GatewaySettings.micros(settings.waitMs()) * WAIT_JITTER_FACTOR)
                + NETWORK_ALLOWANCE_MICROS,
            () -> {
              call.cancel();
              retryAfterFailure("no answer from the catalogue in time");
            });
  }

  private void retryAfterFailure(String problem) {
    timer.cancel();
    listener.onFailure(problem);
    lastIndex = 0;
    backoffMicros =
        Math.min(
            GatewaySettings.micros(settings.maxRetryMs()),
            Math.max(GatewaySettings.micros(settings.retryMs()), backoffMicros * 2));
    timer = loop.schedule(backoffMicros, this::query);
  }

  private final class CatalogueResponse extends BufferingReceiver {
    @Override
    public void onComplete() {
      timer.cancel();
      if (status() != 200) {
        ConsulEndpointList.this.retryAfterFailure("the catalogue answered " + status());
        return;
      }
      List<Endpoint> endpoints;
      long index;
      try {
        endpoints = EndpointListCodec.parseConsul(body());
        index = Long.parseLong(header("x-consul-index").orElse("null"));
      } catch (EndpointListCodec.MalformedListException | NumberFormatException e) {
        ConsulEndpointList.this.retryAfterFailure(
            "the catalogue's answer cannot be read: " + e.getMessage());
        return;
      }
      backoffMicros = 0;
      long previousIndex = lastIndex;
      lastIndex = index < lastIndex ? 0 : Math.max(1, index);
      if (lastIndex != previousIndex) {
        listener.onList(endpoints);
      }
      if (lastIndex == previousIndex && previousIndex == 0) {
        timer =
            loop.schedule(
                GatewaySettings.micros(settings.retryMs()), ConsulEndpointList.this::query);
      } else {
        query();
      }
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      ConsulEndpointList.this.retryAfterFailure(what);
    }
  }
}
