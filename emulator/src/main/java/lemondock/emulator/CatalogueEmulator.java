package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;

/**
 * Emulates the parts of Consul's HTTP API that concern services: the health endpoint with blocking
 * queries, and the agent's register, deregister and maintenance endpoints. It has one node, and
 * maintenance is the only health check.
 *
 * <p>Loop thread only, unless a method says otherwise.
 */
public final class CatalogueEmulator implements HttpService {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String NAME = "catalogue";
  private static final String HEALTH_PATH = "/v1/health/service/";
  private static final String REGISTER_PATH = "/v1/agent/service/register";
  private static final String DEREGISTER_PATH = "/v1/agent/service/deregister/";
  private static final String MAINTENANCE_PATH = "/v1/agent/service/maintenance/";
  private static final byte[] EMPTY = new byte[0];

  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final Pattern WAIT = Pattern.compile("([0-9]{1,9})(ms|s|m)");
  private static final long DEFAULT_WAIT_MICROS = 300 * MICROS_PER_SECOND;
  private static final double MAX_WAIT_MS = 600_000;

  private final Loop loop;
  private final TrafficRecorder traffic;
  private final HttpServer server;
  private final Map<String, Service> services = new LinkedHashMap<>();
  private final List<BlockingQuery> blockingQueries = new ArrayList<>();
  private long index = 1;
  private boolean failing;
  private boolean empty;

  /**
   * One instance of a service.
   *
   * @param maintenance whether the instance is in maintenance, which means that it is draining
   */
  public record Service(
      String id,
      String service,
      String address,
      int port,
      Map<String, String> meta,
      boolean maintenance,
      int weight) {
    /** Returns a copy that is in maintenance or not. */
    public Service withMaintenance(boolean newMaintenance) {
      return new Service(id, service, address, port, meta, newMaintenance, weight);
    }
  }

  /** A health query, which may wait for a change of the catalogue. */
  private record BlockingQuery(HttpExchange exchange, String service, String gateway) {}

  /** Creates an empty catalogue that serves once {@link #start} is called. */
  public CatalogueEmulator(Loop loop, TrafficObserver observer) {
    this.loop = loop;
    this.traffic = new TrafficRecorder(loop, NAME, observer);
    this.server = new HttpServer(loop, serverOptions(), this);
  }

  private static HttpServerOptions serverOptions() {
    return HttpServerOptions.builder()
        .limits(HttpLimits.DEFAULT)
        .maxConnections(4_096)
        .maxBufferedBodyBytes(64 * 1024 * 1024)
        .idleTimeoutMicros(700 * MICROS_PER_SECOND)
        .requestTimeoutMicros(10 * MICROS_PER_SECOND)
        .stallTimeoutMicros(60 * MICROS_PER_SECOND)
        .build();
  }

  /** Starts to listen on an address; any thread. */
  public void start(Network network, InetSocketAddress address) throws IOException {
    server.start(network, address);
  }

  /** The address that the catalogue listens on; any thread. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Adds an instance, or replaces the one with the same id. */
  public void put(Service service) {
    services.put(service.id(), service);
    onChange();
  }

  /** Removes the instance with this id; does nothing if there is none. */
  public void remove(String id) {
    if (services.remove(id) != null) {
      onChange();
    }
  }

  /** Puts an instance into maintenance, so that it drains, or takes it out again. */
  public void setMaintenance(String id, boolean enabled) {
    Service service = services.get(id);
    if (service != null) {
      put(service.withMaintenance(enabled));
    }
  }

  /** Sets whether every request, including blocking queries that wait, gets status 500. */
  public void setFailing(boolean newFailing) {
    failing = newFailing;
    if (newFailing) {
      List.copyOf(blockingQueries).forEach(query -> respondEmpty(query.exchange(), 500));
      blockingQueries.clear();
    }
  }

  /** Sets whether the catalogue lists no instances, whatever is registered. */
  public void setEmpty(boolean newEmpty) {
    empty = newEmpty;
    onChange();
  }

  private void onChange() {
    index++;
    List<BlockingQuery> queries = List.copyOf(blockingQueries);
    blockingQueries.clear();
    queries.forEach(this::respond);
  }

  @Override
  public void serve(HttpExchange exchange) {
    if (failing) {
      respondEmpty(exchange, 500);
      return;
    }
    String path = exchange.request().path();
    switch (exchange.request().method()) {
      case "GET" -> serveGet(exchange, path);
      case "PUT" -> servePut(exchange, path);
      default -> respondEmpty(exchange, 404);
    }
  }

  private static void respondEmpty(HttpExchange exchange, int status) {
    exchange.respond(status, new Headers(), EMPTY);
  }

  private void serveGet(HttpExchange exchange, String path) {
    if (path.startsWith(HEALTH_PATH)) {
      serveHealth(exchange, path.substring(HEALTH_PATH.length()));
    } else {
      respondEmpty(exchange, 404);
    }
  }

  private void servePut(HttpExchange exchange, String path) {
    if (path.equals(REGISTER_PATH)) {
      register(exchange);
    } else if (path.startsWith(DEREGISTER_PATH)) {
      remove(path.substring(DEREGISTER_PATH.length()));
      respondEmpty(exchange, 200);
    } else if (path.startsWith(MAINTENANCE_PATH)) {
      boolean enabled = exchange.request().queryParameter("enable").equals(Optional.of("true"));
      setMaintenance(path.substring(MAINTENANCE_PATH.length()), enabled);
      respondEmpty(exchange, 200);
    } else {
      respondEmpty(exchange, 404);
    }
  }

  private void serveHealth(HttpExchange exchange, String service) {
    BlockingQuery query =
        new BlockingQuery(exchange, service, TrafficSource.parseGateway(exchange.request()));
    if (parseIndex(exchange.request().queryParameter("index")) < index) {
      respond(query);
      return;
    }
    blockingQueries.add(query);
    exchange.onDisconnect(() -> blockingQueries.remove(query));
    loop.schedule(
        parseWaitMicros(exchange.request().queryParameter("wait")),
        () -> {
          if (blockingQueries.remove(query)) {
            respond(query);
          }
        });
  }

  /** Returns the index that a client has seen; 0 if it is missing or not a number. */
  private static long parseIndex(Optional<String> text) {
    try {
      return text.map(Long::parseLong).orElse(0L);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static long parseWaitMicros(Optional<String> text) {
    Matcher matcher = WAIT.matcher(text.orElse(""));
    if (!matcher.matches()) {
      return DEFAULT_WAIT_MICROS;
    }
    double value = Double.parseDouble(matcher.group(1));
    double millis =
        switch (matcher.group(2)) {
          case "ms" -> value;
          case "s" -> value * 1000;
          default -> value * 60_000;
        };
    return (long) (Math.min(millis, MAX_WAIT_MS) * MICROS_PER_MILLI);
  }

  private void respond(BlockingQuery query) {
    List<Service> listed =
        services.values().stream()
            .filter(service -> !empty && service.service().equals(query.service()))
            .toList();
    String lifecycles =
        listed.stream()
            .map(service -> service.id() + (service.maintenance() ? "=draining" : "=ready"))
            .collect(Collectors.joining(" "));
    traffic.record(
        TrafficEvent.Kind.ENDPOINTS_SENT,
        new TrafficSource("", "", query.gateway()),
        index,
        lifecycles);
    query
        .exchange()
        .respond(
            200,
            Headers.of("content-type", "application/json", "x-consul-index", Long.toString(index)),
            ConsulJson.healthResponse(listed));
  }

  private void register(HttpExchange exchange) {
    JsonNode body;
    try {
      body = MAPPER.readTree(exchange.request().body());
    } catch (IOException e) {
      respondBadRequest(exchange, "no JSON");
      return;
    }
    if (body.path("Name").asText("").isEmpty() || body.path("Port").asInt(0) <= 0) {
      respondBadRequest(exchange, "expected Name and Port");
      return;
    }
    put(ConsulJson.parseRegistration(body));
    respondEmpty(exchange, 200);
  }

  private static void respondBadRequest(HttpExchange exchange, String message) {
    exchange.respond(400, new Headers(), message.getBytes(StandardCharsets.UTF_8));
  }
}
