package lemondock.emulator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Optional;
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
 * Emulates the platform that {@code lemondock platform-gateway} runs on: readers, writers and
 * discovery, each on its own port. Prefills and tokens take fixed times, and requests never queue.
 * Every writer rejects a request whose body contains {@code please refuse}.
 *
 * <p>Loop thread only, except that the creating thread calls {@link #start} and {@link #config}.
 */
public final class PlatformEmulator {
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long PREFILL_MICROS = 30_000;
  private static final long TOKEN_INTERVAL_MICROS = 50_000;
  private static final int ANSWER_TOKENS = 12;
  private static final String REJECT_MARKER = "please refuse";
  private static final String STATE_PATH = "/state/";
  private static final byte[] EMPTY = new byte[0];

  private final Loop loop;
  private final Network network;
  private final Set<String> reservedStates = new HashSet<>();
  private final ArrayNode servers = JsonNodeFactory.instance.arrayNode();
  private InetSocketAddress discovery;

  /** Creates a platform without servers; {@link #start} adds them. */
  public PlatformEmulator(Loop loop, Network network) {
    this.loop = loop;
    this.network = network;
  }

  /**
   * Starts the given numbers of servers, and discovery, on free ports of the loopback interface.
   */
  public void start(int readers, int writers) throws IOException {
    for (int i = 0; i < readers + writers; i++) {
      boolean isReader = i < readers;
      InetSocketAddress address = listen(exchange -> serveRequest(exchange, isReader));
      servers
          .addObject()
          .put("id", (isReader ? "reader-" : "writer-") + i)
          .put("addr", formatAddress(address))
          .put("zone", "a")
          .put("kind", isReader ? "reader" : "writer")
          .put("cell", 0)
          .put("state", "ready")
          .put("weight", 1.0)
          .put("started_ms", 0);
    }
    discovery = listen(this::serveEndpointList);
  }

  private InetSocketAddress listen(HttpService service) throws IOException {
    HttpServer server =
        new HttpServer(
            loop,
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(1_024)
                .maxBufferedBodyBytes(64L << 20)
                .idleTimeoutMicros(15 * MICROS_PER_SECOND)
                .requestTimeoutMicros(10 * MICROS_PER_SECOND)
                .stallTimeoutMicros(30 * MICROS_PER_SECOND)
                .build(),
            service);
    server.start(network, new InetSocketAddress("127.0.0.1", 0));
    return server.address();
  }

  private static String formatAddress(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }

  /**
   * Returns the configuration of a gateway on this platform, with the settings that the service's
   * users gave as an example.
   *
   * @param listen the gateway's own address, {@code HOST:PORT}
   */
  public ObjectNode config(String listen) {
    ObjectNode config =
        JsonNodeFactory.instance
            .objectNode()
            .put("name", "n1")
            .put("listen", listen)
            .put("discovery", formatAddress(discovery))
            .put("seed", "1");
    config.putObject("limits").put("cores", 1.0).put("memory_mb", 160).put("sockets", 512);
    config.putObject("known").put("version", 0).put("full", true).set("servers", servers);
    putSettings(config.putObject("settings"));
    return config;
  }

  private static void putSettings(ObjectNode settings) {
    settings.put("siblings", 1).put("resolution-ms", 2);
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
  }

  private void serveEndpointList(HttpExchange exchange) {
    String since = exchange.request().queryParameter("since").orElse(null);
    String timeoutMs = exchange.request().queryParameter("timeout_ms").orElse(null);
    ObjectNode list =
        JsonNodeFactory.instance.objectNode().put("version", 1).put("full", since == null);
    list.set("servers", since == null ? servers : JsonNodeFactory.instance.arrayNode());
    byte[] body = list.toString().getBytes(StandardCharsets.UTF_8);
    loop.schedule(
        since == null || timeoutMs == null
            ? 0
            : Math.min(60_000, Long.parseLong(timeoutMs)) * 1_000,
        () -> exchange.respond(200, Headers.of("content-type", "application/json"), body));
  }

  private void serveRequest(HttpExchange exchange, boolean isReader) {
    HttpRequest request = exchange.request();
    if (request.path().startsWith(STATE_PATH)) {
      reservedStates.remove(request.path().substring(STATE_PATH.length()));
      exchange.respond(204, new Headers(), EMPTY);
      return;
    }
    Optional<String> id = request.headers().firstValue("x-request-id");
    if (id.isEmpty()) {
      exchange.respond(404, new Headers(), EMPTY);
    } else if (isReader) {
      loop.schedule(PREFILL_MICROS, () -> respondToPrefill(exchange, id.get()));
    } else {
      serveDecode(exchange, id.get());
    }
  }

  private void respondToPrefill(HttpExchange exchange, String id) {
    reservedStates.add(id);
    exchange.respond(
        202,
        Headers.of("content-type", "application/json"),
        "{\"cached_tokens\":0}".getBytes(StandardCharsets.UTF_8));
  }

  private void serveDecode(HttpExchange exchange, String id) {
    Headers notRun = Headers.of("x-not-run", "1");
    String body = new String(exchange.request().body(), StandardCharsets.UTF_8);
    if (body.contains(REJECT_MARKER)) {
      exchange.respond(503, notRun, EMPTY);
    } else if (!reservedStates.remove(id)) {
      exchange.respond(410, notRun, EMPTY);
    } else {
      sendTokenAfterInterval(exchange, 0);
    }
  }

  private void sendTokenAfterInterval(HttpExchange exchange, int tokenIndex) {
    loop.schedule(
        TOKEN_INTERVAL_MICROS,
        () -> {
          if (tokenIndex == 0) {
            exchange.begin(200, Headers.of("content-type", "text/event-stream"));
          }
          boolean isLast = tokenIndex == ANSWER_TOKENS - 1;
          exchange.send(
              ("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word"
                      + tokenIndex
                      + " \"},\"finish_reason\":"
                      + (isLast ? "\"stop\"" : "null")
                      + "}]}\n\n")
                  .getBytes(StandardCharsets.UTF_8));
          if (isLast) {
            exchange.send(
                ("data: {\"choices\":[],\"usage\":{\"completion_tokens\":"
                        + ANSWER_TOKENS
                        + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"
                        + "data: [DONE]\n\n")
                    .getBytes(StandardCharsets.UTF_8));
            exchange.finish();
          } else if (exchange.isOpen()) {
            sendTokenAfterInterval(exchange, tokenIndex + 1);
          }
        });
  }
}
