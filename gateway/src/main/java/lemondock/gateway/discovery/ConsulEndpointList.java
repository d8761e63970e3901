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
 * Follows a service in Consul's catalogue with blocking queries of the health API: each query names
 * the last index seen and is answered once the index has passed it or the wait is over. If the
 * index goes backwards, the next query starts at 0 again, as Consul's documentation requires. After
 * a failure the query is retried with exponential backoff. Loop thread only.
 */
public final class ConsulEndpointList implements EndpointListSource {
  /** Consul adds a random time of up to a sixteenth to the wait. */
  private static final double WAIT_JITTER_FACTOR = 17.0 / 16;

  /** Allowance for the network latency of the request and the response. */
  private static final long NETWORK_ALLOWANCE_MICROS = 2_000_000;

  private final Loop loop;
  private final HttpClient client;
  private final InetSocketAddress address;
  private final GatewaySettings.Discovery settings;
  private final String userAgent;

  /** Set once, by {@link #start}. */
  private Listener listener;

  /**
   * The index of the last list seen; 0 if there is none, after a failure, and after the index went
   * backwards.
   */
  private long lastIndex;

  private long backoffMicros;
  private boolean stopped;

  /** The latest query; null before the first. */
  private HttpCall call;

  /** The timeout of the query in flight, or the timer that starts the next query. */
  private Loop.Timer timer = () -> {};

  /** Creates a follower; {@code userAgent} is the User-Agent header sent to the catalogue. */
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
    // nothing to do: a query is always in flight or scheduled
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
    timer = loop.schedule(timeoutMicros, this::onQueryTimeout);
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

  private void onQueryTimeout() {
    call.cancel();
    retryAfterFailure(
        "the catalogue at " + settings.address() + " did not answer the query in time");
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

  /** Handles a received list; its index tells whether it differs from the previous one. */
  private void onListReceived(List<Endpoint> listed, long index) {
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
        retryAfterFailure(
            "expected status 200 from the catalogue at "
                + settings.address()
                + ", found "
                + status());
        return;
      }
      List<Endpoint> listed;
      long index;
      try {
        listed = EndpointListCodec.parseConsul(body());
        index = Long.parseLong(header("x-consul-index").orElse("null"));
      } catch (EndpointListCodec.MalformedListException | NumberFormatException e) {
        retryAfterFailure(
            "cannot parse the answer of the catalogue at "
                + settings.address()
                + ": "
                + e.getMessage());
        return;
      }
      onListReceived(listed, index);
    }

    @Override
    public void onFailure(RequestFailure failure, String message) {
      retryAfterFailure(message);
    }
  }
}
