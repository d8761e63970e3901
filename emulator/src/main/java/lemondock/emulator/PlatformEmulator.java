package lemondock.emulator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;

/**
 * A stand-in for the platform that {@code lemondock node} serves on: readers, writers and
 * discovery, each on a port of its own. Reads and tokens take fixed times; nothing queues. A body
 * that holds {@code please refuse} is turned away by every writer.
 */
public final class PlatformEmulator {
  private static final long SECOND = 1_000_000;
  private static final long READ = 30_000;
  private static final long TOKEN = 50_000;
  private static final int TOKENS = 12;
  private static final String REFUSE = "please refuse";
  private static final byte[] NOTHING = new byte[0];

  private final Loop loop;
  private final Network network;
  private final Set<String> states = new HashSet<>();
  private final ArrayNode servers = JsonNodeFactory.instance.arrayNode();
  private InetSocketAddress discovery;

  /** Makes a platform without servers. */
  public PlatformEmulator(Loop loop, Network network) {
    this.loop = loop;
    this.network = network;
  }

  /** Takes ports for so many servers and for discovery. */
  public void start(int readers, int writers) throws IOException {
    for (int i = 0; i < readers + writers; i++) {
      boolean reads = i < readers;
      InetSocketAddress at = serve(exchange -> answer(exchange, reads));
      servers
          .addObject()
          .put("id", (reads ? "reader-" : "writer-") + i)
          .put("addr", text(at))
          .put("zone", "a")
          .put("kind", reads ? "reader" : "writer")
          .put("cell", 0)
          .put("state", "ready")
          .put("weight", 1.0)
          .put("started_ms", 0);
    }
    discovery = serve(this::list);
  }

  private InetSocketAddress serve(HttpService service) throws IOException {
    HttpServer server =
        new HttpServer(
            loop,
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(1_024)
                .maxBufferedBodyBytes(64L << 20)
                .idleTimeoutMicros(15 * SECOND)
                .requestTimeoutMicros(10 * SECOND)
                .stallTimeoutMicros(30 * SECOND)
                .build(),
            service);
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
    return server.address();
  }

  private static String text(InetSocketAddress at) {
    return at.getHostString() + ":" + at.getPort();
  }

  /**
   * The configuration of a gateway here, with the settings that the service's users gave as an
   * example.
   */
  public ObjectNode config(String listen) {
    ObjectNode config =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", "n1")
            .put("listen", listen)
            .put("discovery", text(discovery))
            .put("seed", "1");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 160).put("sockets", 512);
    config.putObject("known").put("version", 0).put("full", true).set("servers", servers);
    ObjectNode settings = config.putObject("settings").put("siblings", 1).put("resolution-ms", 2);
    settings.putArray("skus").add("reader").add("writer");
    settings
        .putArray("classes")
        .addObject()
        .put("name", "chat")
        .put("goal-time-ms", 1_000)
        .put("deadline-ms", 5_000)
        .put("credit", 1)
        .put("late-worth", 0.2)
        .put("repeat", "repeatable");
    settings.putArray("tenants").addObject().put("name", "acme").put("quota-per-s", 0);
    settings
        .putObject("limits")
        .put("max-attempts", 4)
        .put("cancel", true)
        .put("connect-timeout-ms", 250)
        .put("retry-after", true)
        .put("max-retry-after-ms", 2_000)
        .put("conn-idle-ms", 15_000);
    settings
        .putObject("obligations")
        .put("warm-up-ms", 1_000)
        .put("cold-share", 0.5)
        .put("overload-factor", 2.5)
        .put("fall-ms", 2_000);
    ObjectNode specifics = settings.putObject("specifics").put("release-within-ms", 500);
    specifics.putArray("duty-by-kind").add("read").add("write");
    specifics.putArray("memory-tokens").add(100_000).add(100_000);
    specifics.putArray("token-aim-ms").add(70);
    return config;
  }

  private void list(HttpExchange exchange) {
    String since = exchange.request().queryParameter("since").orElse(null);
    String wait = exchange.request().queryParameter("timeout_ms").orElse(null);
    ObjectNode answer =
        JsonNodeFactory.instance.objectNode().put("version", 1).put("full", since == null);
    answer.set("servers", since == null ? servers : JsonNodeFactory.instance.arrayNode());
    byte[] body = answer.toString().getBytes(StandardCharsets.UTF_8);
    loop.schedule(
        since == null || wait == null ? 0 : Math.min(60_000, Long.parseLong(wait)) * 1_000,
        () -> exchange.respond(200, Headers.of("content-type", "application/json"), body));
  }

  private void answer(HttpExchange exchange, boolean reads) {
    HttpRequest request = exchange.request();
    if (request.path().startsWith("/state/")) {
      states.remove(request.path().substring("/state/".length()));
      exchange.respond(204, new Headers(), NOTHING);
      return;
    }
    String id = request.headers().firstValue("x-request-id").orElse(null);
    Headers never = Headers.of("x-not-run", "1");
    if (id == null) {
      exchange.respond(404, new Headers(), NOTHING);
    } else if (reads) {
      loop.schedule(
          READ,
          () -> {
            states.add(id);
            exchange.respond(
                202,
                Headers.of("content-type", "application/json"),
                "{\"cached_tokens\":0}".getBytes(StandardCharsets.UTF_8));
          });
    } else if (new String(request.body(), StandardCharsets.UTF_8).contains(REFUSE)) {
      exchange.respond(503, never, NOTHING);
    } else if (!states.remove(id)) {
      exchange.respond(410, never, NOTHING);
    } else {
      token(exchange, 0);
    }
  }

  private void token(HttpExchange exchange, int number) {
    loop.schedule(
        TOKEN,
        () -> {
          if (number == 0) {
            exchange.begin(200, Headers.of("content-type", "text/event-stream"));
          }
          boolean last = number == TOKENS - 1;
          exchange.send(
              ("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word"
                      + number
                      + " \"},\"finish_reason\":"
                      + (last ? "\"stop\"" : "null")
                      + "}]}\n\n")
                  .getBytes(StandardCharsets.UTF_8));
          if (last) {
            exchange.send(
                ("data: {\"choices\":[],\"usage\":{\"completion_tokens\":"
                        + TOKENS
                        + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
                        + "data: [DONE]\n\n")
                    .getBytes(StandardCharsets.UTF_8));
            exchange.finish();
          } else if (exchange.isOpen()) {
            token(exchange, number + 1);
          }
        });
  }
}
