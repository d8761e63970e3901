package lemondock.gateway.discovery;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
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
 * backwards starts at 0 again, as Consul's documentation asks. After a failure it is queried again
 * with a growing backoff. Loop thread only.
 */
public final class ConsulEndpointList implements EndpointListSource {
  /** Consul adds up to a sixteenth to the wait. */
  private static final double WAIT_JITTER_FACTOR = 17.0 / 16;

  /** Time for the request and the response to travel. */
  private static final long NETWORK_ALLOWANCE_MICROS = 2_000_000;

  private final Loop loop;
  private final HttpClient client;
  private final InetSocketAddress address;
  private final GatewaySettings.Discovery settings;
  private final String userAgent;

  /** Set once, at the start. */
  private Listener listener;

  /** The index of the list seen last, 0 for none. */
  private long lastIndex;

  private long backoffMicros;
  private boolean stopped;

  /** The last query; null before the first. */
  private HttpCall call;

  /** The time-out of the query in flight, or what starts the next. */
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
    call = client.send(address, queryRequest(), new CatalogueResponse());
    long timeoutMicros =
        (long) (GatewaySettings.micros(settings.waitMs()) * WAIT_JITTER_FACTOR)
            + NETWORK_ALLOWANCE_MICROS;
    timer = loop.schedule(timeoutMicros, this::queryTimedOut);
  }

  private ByteBuffer queryRequest() {
    String target =
        "/v1/health/service/"
            + settings.service()
            + "?index="
            + lastIndex
            + "&wait="
            + Math.round(settings.waitMs())
            + "ms";
    Headers headers =
        Headers.of(
            "host",
            address.getHostString() + ":" + address.getPort(),
            "accept",
            "application/json",
            "user-agent",
            userAgent);
    return HttpEncoder.request("GET", target, headers, new byte[0]);
  }

  private void queryTimedOut() {
    call.cancel();
    retryAfterFailure("no answer from the catalogue in time");
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

  /** A list has come, whose index says whether it is another than the one before. */
  private void listReceived(List<Endpoint> listed, long index) {
    backoffMicros = 0;
    long previousIndex = lastIndex;
    lastIndex = index < lastIndex ? 0 : Math.max(1, index);
    if (lastIndex != previousIndex) {
      listener.onList(listed);
    }
    if (lastIndex == previousIndex && previousIndex == 0) {
      timer = loop.schedule(GatewaySettings.micros(settings.retryMs()), this::query);
    } else {
      query();
    }
  }

  private final class CatalogueResponse extends BufferingReceiver {
    @Override
    public void onComplete() {
      timer.cancel();
      if (status() != 200) {
        retryAfterFailure("the catalogue answered " + status());
        return;
      }
      List<Endpoint> listed;
      long index;
      try {
        listed = EndpointListCodec.parseConsul(body());
        index = Long.parseLong(header("x-consul-index").orElse("null"));
      } catch (EndpointListCodec.MalformedListException | NumberFormatException e) {
        retryAfterFailure("the catalogue's answer cannot be read: " + e.getMessage());
        return;
      }
      listReceived(listed, index);
    }

    @Override
    public void onFailure(RequestFailure failure, String message) {
      retryAfterFailure(message);
    }
  }
}
