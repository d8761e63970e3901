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

/** A small fleet with one gateway and a client, for tests. */
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
   * Refusals by the gateway's own limit are off unless the changes put settings of their own under
   * "overload": gateway, engines and clients share this process, and a machine that is slow for a
   * moment is not what most tests are about.
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
    for (EngineSettings e : engines) {
      fleet.addEngine(e);
    }
    settings =
        LoopbackSettings.gateway(GATEWAY, 0, 1, "north", port, fleet.catalogueAddress(), changes);
    fleet.addGateway(settings, routerFactory);
    if (!fleet.awaitServers(GATEWAY, engines.length, 10_000)) {
      throw new IllegalStateException("the gateway does not see its servers");
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

  /** The complete text of an answer of so many words, without tool calls. */
  static String answerText(int words) {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < words; i++) {
      text.append(" a").append(i);
    }
    return text.toString();
  }

  /** Begins a call; the future ends with it. */
  CompletableFuture<McpCall> begin(McpClient client, ToolCallRequest request) {
    return begin(client, request, call -> {});
  }

  CompletableFuture<McpCall> begin(
      McpClient client, ToolCallRequest request, Consumer<McpCall> begun) {
    CompletableFuture<McpCall> done = new CompletableFuture<>();
    clients
        .loop()
        .execute(
            () ->
                client.open(
                    ok -> {
                      if (ok) {
                        begun.accept(client.call(request, done::complete));
                      } else {
                        done.completeExceptionally(
                            new IllegalStateException("no session: status " + client.openStatus()));
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

  List<TrafficEvent> events(TrafficEvent.Kind kind, String mark) {
    return fleet.events().stream()
        .filter(e -> e.kind() == kind && (mark == null || e.mark().equals(mark)))
        .toList();
  }

  /**
   * Waits for something to become true; what is awaited must come, so time only bounds a failing
   * test.
   */
  static void await(String what, BooleanSupplier condition) {
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(15);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > until) {
        throw new AssertionError("in vain: " + what);
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

  /** Waits until nothing is under way or held anywhere. */
  void awaitIdle() {
    String[] last = {""};
    try {
      await("idle", () -> (last[0] = busy()).isEmpty());
    } catch (AssertionError e) {
      throw new AssertionError(
          "still busy: "
              + last[0]
              + ", "
              + fleet.events().stream().skip(Math.max(0, fleet.events().size() - 30)).toList(),
          e);
    }
  }

  private String busy() {
    int requests =
        fleet.gatewayProcess(GATEWAY).invokeAndWait(fleet.gateway(GATEWAY)::requestsInFlight);
    int calls = fleet.gatewayProcess(GATEWAY).invokeAndWait(fleet.gateway(GATEWAY)::callsInFlight);
    StringBuilder busy =
        new StringBuilder(
            requests + calls == 0 ? "" : requests + " requests, " + calls + " calls ");
    for (String e : fleet.engines()) {
      fleet
          .emulators()
          .invokeAndWait(
              () ->
                  fleet.engine(e).reservedStates() + fleet.engine(e).runningRequests() == 0
                      ? busy
                      : busy.append(e)
                          .append(": ")
                          .append(fleet.engine(e).describeLoad())
                          .append(' '));
    }
    return busy.toString();
  }

  @Override
  public void close() {
    fleet.close();
    clients.close();
  }
}
