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
public final class ConsulList implements ServerList {
  /** Consul adds up to a sixteenth of the wait; the rest is for the way. */
  private static final double WAIT_TIMES = 17.0 / 16;

  private static final long SLACK = 2_000_000;

  private final Loop loop;
  private final HttpClient client;
  private final InetSocketAddress address;
  private final GatewaySettings.Discovery settings;
  private final String agent;
  private Sink sink;
  private long index;
  private long backOff;
  private boolean stopped;
  private HttpCall call;
  private Loop.Timer timer = () -> {};

  /** Makes a follower; {@code agent} is what the catalogue sees as User-Agent. */
  public ConsulList(
      Loop loop,
      HttpClient client,
      InetSocketAddress address,
      GatewaySettings.Discovery settings,
      String agent) {
    this.loop = loop;
    this.client = client;
    this.address = address;
    this.settings = settings;
    this.agent = agent;
  }

  @Override
  public void start(Sink to) {
    sink = to;
    query();
  }

  @Override
  public void watch() {
    // a query is always under way or about to be repeated
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
            + index
            + "&wait="
            + Math.round(settings.waitMs())
            + "ms";
    Answer answer = new Answer();
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
                    agent),
                new byte[0]),
            answer);
    timer =
        loop.schedule(
            (long) (GatewaySettings.micros(settings.waitMs()) * WAIT_TIMES) + SLACK,
            () -> {
              call.cancel();
              failed("no answer from the catalogue in time");
            });
  }

  private void failed(String what) {
    timer.cancel();
    sink.failed(what);
    index = 0;
    backOff =
        Math.min(
            GatewaySettings.micros(settings.maxRetryMs()),
            Math.max(GatewaySettings.micros(settings.retryMs()), backOff * 2));
    timer = loop.schedule(backOff, this::query);
  }

  private final class Answer extends BufferingReceiver {
    @Override
    public void onComplete() {
      timer.cancel();
      if (status() != 200) {
        ConsulList.this.failed("the catalogue answered " + status());
        return;
      }
      List<Endpoint> entries;
      long next;
      try {
        entries = Listing.ofConsul(body());
        next = Long.parseLong(String.valueOf(header("x-consul-index")));
      } catch (Listing.Unreadable | NumberFormatException e) {
        ConsulList.this.failed("the catalogue's answer cannot be read: " + e.getMessage());
        return;
      }
      backOff = 0;
      long before = index;
      index = next < index ? 0 : Math.max(1, next);
      if (index != before) {
        sink.whole(entries);
      }
      if (index == before && before == 0) {
        timer = loop.schedule(GatewaySettings.micros(settings.retryMs()), ConsulList.this::query);
      } else {
        query();
      }
    }

    @Override
    public void onFailure(RequestFailure failure, String what) {
      ConsulList.this.failed(what);
    }
  }
}
