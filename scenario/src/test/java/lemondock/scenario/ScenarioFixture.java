package lemondock.scenario;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;

/** A small fleet of emulated engines with one gateway and MCP clients, on loopback sockets. */
final class ScenarioFixture implements AutoCloseable {
  static final String GATEWAY = "gw";
  final ScenarioFleet fleet;
  final EmulatedProcess clients = new EmulatedProcess("clients", 1);
  final int port;
  final HttpClient http =
      new HttpClient(
          clients.loop(),
          clients.network(),
          new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 2_000, 1_000_000, 15_000_000));
  final GatewaySettings settings;

  ScenarioFixture(Consumer<ObjectNode> changes, EngineSettings... engines) {
    this(changes, Gateway.DEFAULT_ROUTER_FACTORY, engines);
  }

  /**
   * Starts the fleet. The gateway's load shedding is off unless the changes set "overload"
   * themselves: gateway, engines and clients share this process, and most tests should not fail
   * because the machine is slow for a moment.
   */
  ScenarioFixture(
      Consumer<ObjectNode> testChanges, RouterFactory routerFactory, EngineSettings... engines) {
    Consumer<ObjectNode> changes =
        settings -> {
          settings.putObject("overload").put("refuse", false);
          testChanges.accept(settings);
        };
    List<GatewaySettings.ClassSettings> classes =
        LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", changes).classes();
    fleet = new ScenarioFleet(classes, 1);
    port = fleet.reservePort();
    for (EngineSettings engine : engines) {
      fleet.addEngine(engine);
    }
    settings =
        LoopbackSettings.gateway(GATEWAY, 0, 1, "north", port, fleet.catalogueAddress(), changes);
    fleet.addGateway(settings, routerFactory);
    if (!fleet.awaitServers(GATEWAY, engines.length, 10_000)) {
      throw new IllegalStateException(
          "gateway "
              + GATEWAY
              + " did not list exactly "
              + engines.length
              + " engines within 10 s");
    }
  }

  static EngineSettings reader(String name) {
    return EngineSettings.quick(name, "reader", "north", "r1");
  }

  static EngineSettings writer(String name) {
    return EngineSettings.quick(name, "writer", "north", "r1");
  }

  static EngineSettings mixed(String name) {
    return EngineSettings.quick(name, "mixed", "north", "r1");
  }

  McpClient client() {
    return new McpClient(clients.loop(), http, new InetSocketAddress("127.0.0.1", port), GATEWAY);
  }

  static ToolCallRequest request(
      String mark, String text, ToolBehaviour behaviour, String... tools) {
    return request("sale-lookup", 0, mark, text, behaviour, tools);
  }

  static ToolCallRequest request(
      String tool,
      int classId,
      String mark,
      String text,
      ToolBehaviour behaviour,
      String... tools) {
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    messages
        .addObject()
        .put("role", "system")
        .put("content", "You help the vendors of the market.");
    messages.addObject().put("role", "user").put("content", "#" + mark + "# " + text);
    return new ToolCallRequest(
        tool,
        classId,
        messages,
        "talk-" + mark,
        List.of(tools),
        behaviour,
        5_000,
        500,
        mark,
        false);
  }

  /** The complete text of an answer of the given number of words, without tool calls. */
  static String answerText(int words) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words; i++) {
      text.append(" a").append(i);
    }
    return text.toString();
  }

  /** Opens a session and starts a call; the future completes when the call ends. */
  CompletableFuture<McpCall> begin(McpClient client, ToolCallRequest request) {
    return begin(client, request, call -> {});
  }

  /**
   * As {@link #begin(McpClient, ToolCallRequest)}; {@code onStarted} receives the started call on
   * the clients' loop.
   */
  CompletableFuture<McpCall> begin(
      McpClient client, ToolCallRequest request, Consumer<McpCall> onStarted) {
    CompletableFuture<McpCall> done = new CompletableFuture<>();
    clients
        .loop()
        .execute(
            () ->
                client.open(
                    isOpen -> {
                      if (isOpen) {
                        onStarted.accept(client.call(request, done::complete));
                      } else {
                        done.completeExceptionally(
                            new IllegalStateException(
                                "the gateway opened no session: status " + client.openStatus()));
                      }
                    }));
    return done;
  }

  CallRecord call(ToolCallRequest request) {
    return get(begin(client(), request)).record();
  }

  static <T> T get(CompletableFuture<T> future) {
    try {
      return future.get(20, TimeUnit.SECONDS);
    } catch (InterruptedException | java.util.concurrent.ExecutionException | TimeoutException e) {
      throw new AssertionError(e);
    }
  }

  /** Events of one kind; of all calls if the mark is null. */
  List<TrafficEvent> events(TrafficEvent.Kind kind, String mark) {
    return fleet.events().stream()
        .filter(event -> event.kind() == kind && (mark == null || event.mark().equals(mark)))
        .toList();
  }

  /**
   * Waits until the condition is true and fails after 15 s. A passing test never depends on the
   * time limit, because the condition must become true.
   */
  static void await(String description, BooleanSupplier condition) {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadlineNanos) {
        throw new AssertionError("condition not met within 15 s: " + description);
      }
      pause(2);
    }
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Waits until the gateway and the engines have no request, call or reserved state left. */
  void awaitIdle() {
    String[] lastLoad = {""};
    try {
      await("fleet is idle", () -> (lastLoad[0] = describeLoad()).isEmpty());
    } catch (AssertionError e) {
      throw new AssertionError(
          "fleet is not idle: "
              + lastLoad[0]
              + ", last events: "
              + fleet.events().stream().skip(Math.max(0, fleet.events().size() - 30)).toList(),
          e);
    }
  }

  /** Describes the requests, calls and reserved states that remain; empty if there are none. */
  private String describeLoad() {
    int requests =
        fleet.gatewayProcess(GATEWAY).invokeAndWait(fleet.gateway(GATEWAY)::requestsInFlight);
    int calls = fleet.gatewayProcess(GATEWAY).invokeAndWait(fleet.gateway(GATEWAY)::callsInFlight);
    StringBuilder load =
        new StringBuilder(
            requests + calls == 0 ? "" : requests + " requests, " + calls + " calls ");
    for (String engine : fleet.engines()) {
      fleet
          .emulators()
          .invokeAndWait(
              () ->
                  fleet.engine(engine).reservedStates() + fleet.engine(engine).runningRequests()
                          == 0
                      ? load
                      : load.append(engine)
                          .append(": ")
                          .append(fleet.engine(engine).describeLoad())
                          .append(' '));
    }
    return load.toString();
  }

  @Override
  public void close() {
    fleet.close();
    clients.close();
  }
}
