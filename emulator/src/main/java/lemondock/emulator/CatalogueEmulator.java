package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;

/**
 * A stand-in for the part of Consul's HTTP API that lists services: health of a service with
 * blocking queries, and the agent's register, deregister and maintenance. It has one node and no
 * checks but maintenance.
 */
public final class CatalogueEmulator implements HttpService {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MICROS = 1_000;
  private static final long SECOND = 1_000_000;
  private static final double LONGEST_WAIT_MS = 600_000;

  private final Loop loop;
  private final TrafficObserver observer;
  private final HttpServer server;
  private final Map<String, Service> services = new LinkedHashMap<>();
  private final List<Waiting> waiting = new ArrayList<>();
  private long index = 1;
  private boolean failing;
  private boolean empty;

  /** One service instance. */
  public record Service(
      String id,
      String service,
      String address,
      int port,
      Map<String, String> meta,
      boolean maintenance,
      int weight) {
    /** The same in or out of maintenance, which is how it drains. */
    public Service maintenance(boolean on) {
      return new Service(id, service, address, port, meta, on, weight);
    }
  }

  private record Waiting(HttpExchange exchange, String service, String gateway) {}

  /** Makes an empty catalogue. */
  public CatalogueEmulator(Loop loop, TrafficObserver observer) {
    this.loop = loop;
    this.observer = observer;
    this.server =
        new HttpServer(
            loop,
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(4_096)
                .maxBufferedBodyBytes(64 * 1024 * 1024)
                .idleTimeoutMicros(700 * SECOND)
                .requestTimeoutMicros(10 * SECOND)
                .stallTimeoutMicros(60 * SECOND)
                .build(),
            this);
  }

  /** Takes a port. */
  public void start(Network network, InetSocketAddress address) throws IOException {
    server.start(network, address);
  }

  /** The address taken. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** Adds or changes an instance; loop thread only. */
  public void put(Service service) {
    services.put(service.id(), service);
    changed();
  }

  /** Takes an instance off; loop thread only. */
  public void remove(String id) {
    if (services.remove(id) != null) {
      changed();
    }
  }

  /** Lets an instance drain, or not any more; loop thread only. */
  public void maintenance(String id, boolean on) {
    Service service = services.get(id);
    if (service != null) {
      put(service.maintenance(on));
    }
  }

  /** Whether it answers with status 500 from now on; loop thread only. */
  public void failing(boolean on) {
    failing = on;
    if (on) {
      List.copyOf(waiting).forEach(w -> w.exchange().respond(500, new Headers(), new byte[0]));
      waiting.clear();
    }
  }

  /** Whether it says that there are no instances at all; loop thread only. */
  public void empty(boolean on) {
    empty = on;
    changed();
  }

  private void changed() {
    index++;
    List<Waiting> now = List.copyOf(waiting);
    waiting.clear();
    now.forEach(this::tell);
  }

  @Override
  public void serve(HttpExchange exchange) {
    String path = exchange.request().path();
    String method = exchange.request().method();
    if (failing) {
      exchange.respond(500, new Headers(), new byte[0]);
    } else if (method.equals("GET") && path.startsWith("/v1/health/service/")) {
      health(exchange, path.substring("/v1/health/service/".length()));
    } else if (method.equals("PUT") && path.equals("/v1/agent/service/register")) {
      register(exchange);
    } else if (method.equals("PUT") && path.startsWith("/v1/agent/service/deregister/")) {
      remove(path.substring("/v1/agent/service/deregister/".length()));
      exchange.respond(200, new Headers(), new byte[0]);
    } else if (method.equals("PUT") && path.startsWith("/v1/agent/service/maintenance/")) {
      maintenance(
          path.substring("/v1/agent/service/maintenance/".length()),
          "true".equals(exchange.request().queryParameter("enable").orElse(null)));
      exchange.respond(200, new Headers(), new byte[0]);
    } else {
      exchange.respond(404, new Headers(), new byte[0]);
    }
  }

  private void health(HttpExchange exchange, String service) {
    String agent = exchange.request().headers().firstValue("user-agent").orElse("null");
    int open = agent.indexOf('(');
    Waiting one =
        new Waiting(
            exchange,
            service,
            open >= 0 && agent.endsWith(")")
                ? agent.substring(open + 1, agent.length() - 1)
                : agent);
    long asked = number(exchange.request().queryParameter("index").orElse(null));
    if (asked < index) {
      tell(one);
      return;
    }
    waiting.add(one);
    exchange.onDisconnect(() -> waiting.remove(one));
    loop.schedule(
        waitOf(exchange.request().queryParameter("wait").orElse(null)),
        () -> {
          if (waiting.remove(one)) {
            tell(one);
          }
        });
  }

  private static long number(String text) {
    try {
      return text == null ? 0 : Long.parseLong(text);
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  private static long waitOf(String text) {
    if (text != null && text.matches("[0-9]{1,9}(ms|s|m)")) {
      double value = Double.parseDouble(text.replaceAll("[a-z]", ""));
      double millis =
          text.endsWith("ms") ? value : text.endsWith("s") ? value * 1000 : value * 60_000;
      return (long) (Math.min(millis, LONGEST_WAIT_MS) * MICROS);
    }
    return 300 * SECOND;
  }

  private void tell(Waiting one) {
    ArrayNode all = JsonNodeFactory.instance.arrayNode();
    StringBuilder standings = new StringBuilder();
    for (Service s : services.values()) {
      if (!empty && s.service().equals(one.service())) {
        ObjectNode entry = all.addObject();
        entry.putObject("Node").put("Node", "standin").put("Address", s.address());
        ObjectNode service =
            entry
                .putObject("Service")
                .put("ID", s.id())
                .put("Service", s.service())
                .put("Address", s.address())
                .put("Port", s.port());
        ObjectNode meta = service.putObject("Meta");
        s.meta().forEach(meta::put);
        service.putObject("Weights").put("Passing", s.weight()).put("Warning", 1);
        ArrayNode checks = entry.putArray("Checks");
        if (s.maintenance()) {
          checks
              .addObject()
              .put("CheckID", "_service_maintenance:" + s.id())
              .put("Status", "critical");
        }
        standings.append(s.id()).append(s.maintenance() ? "=draining " : "=ready ");
      }
    }
    observer.onEvent(
        new TrafficEvent(
            loop.now(),
            "catalogue",
            TrafficEvent.Kind.ENDPOINTS_SENT,
            "",
            "",
            one.gateway(),
            index,
            standings.toString().strip()));
    one.exchange()
        .respond(
            200,
            Headers.of("content-type", "application/json", "x-consul-index", Long.toString(index)),
            all.toString().getBytes(StandardCharsets.UTF_8));
  }

  private void register(HttpExchange exchange) {
    JsonNode body;
    try {
      body = MAPPER.readTree(exchange.request().body());
    } catch (IOException e) {
      exchange.respond(400, new Headers(), "no JSON".getBytes(StandardCharsets.UTF_8));
      return;
    }
    String name = body.path("Name").asText("");
    int port = body.path("Port").asInt(0);
    if (name.isEmpty() || port <= 0) {
      exchange.respond(
          400, new Headers(), "expected Name and Port".getBytes(StandardCharsets.UTF_8));
      return;
    }
    Map<String, String> meta = new LinkedHashMap<>();
    body.path("Meta")
        .properties()
        .forEach(entry -> meta.put(entry.getKey(), entry.getValue().asText()));
    put(
        new Service(
            body.path("ID").asText(name),
            name,
            body.path("Address").asText("127.0.0.1"),
            port,
            meta,
            false,
            body.path("Weights").path("Passing").asInt(1)));
    exchange.respond(200, new Headers(), new byte[0]);
  }
}
