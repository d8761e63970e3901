package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import lemondock.dispatch.RouterFactory;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.policy.AttemptResult;
import lemondock.policy.RequestRouter;
import lemondock.policy.RoutingRequest;
import lemondock.scenario.EmulatedProcess;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.McpClient;
import lemondock.scenario.ScenarioFleet;
import lemondock.scenario.ToolBehaviour;
import lemondock.scenario.ToolCallRequest;

/**
 * What is won by sending the leg behind a tool call to the reader that has the text, against one
 * that reads it anew: tokens found kept, and the time from the leg's arrival at a reader to the
 * beginning of its writing. Nothing is held for it meanwhile in either case. Stand-ins.
 */
final class AffinityBenchmark {
  private static final int CALLS = 200;
  private static final int WORDS = 3_000;
  private static final int READERS = 6;
  private static final double READ_A_SECOND = 20_000;
  private static final int AT_A_TIME = 4;

  private AffinityBenchmark() {}

  /**
   * The module as it is, and one to which each leg is a conversation of its own without a shared
   * beginning.
   */
  private static RouterFactory maker(boolean anew, AtomicLongArray kept) {
    return (settings, seed, host) -> {
      RequestRouter module = Gateway.DEFAULT_ROUTER_FACTORY.create(settings, seed, host);
      AtomicLong sessions = new AtomicLong(1);
      return (RequestRouter)
          Proxy.newProxyInstance(
              RequestRouter.class.getClassLoader(),
              new Class<?>[] {RequestRouter.class},
              (proxy, method, args) -> {
                Object[] given = args;
                if (method.getName().equals("requestArrived")) {
                  RoutingRequest r = (RoutingRequest) args[1];
                  kept.addAndGet(1, r.promptTokens());
                  if (anew) {
                    given =
                        new Object[] {
                          args[0],
                          new RoutingRequest(
                              r.id(),
                              r.classId(),
                              r.tenantId(),
                              sessions.addAndGet(0x9E3779B97F4A7C15L),
                              0,
                              r.promptTokens(),
                              0,
                              r.maxAnswerTokens(),
                              r.clientTimeoutMicros(),
                              r.expectedWriteMicros(),
                              r.clientRetry(),
                              r.resumed())
                        };
                  }
                } else if (method.getName().equals("attemptEnded")) {
                  kept.addAndGet(0, Math.max(0, ((AttemptResult) args[1]).cachedTokens()));
                }
                return method.invoke(module, given);
              });
    };
  }

  static void measure() throws Exception {
    System.out.println(
        CALLS
            + " calls with one tool call each, prompts of "
            + WORDS
            + " words, "
            + READERS
            + " readers that read "
            + (int) READ_A_SECOND
            + " tokens a second, "
            + AT_A_TIME
            + " calls at a time\n"
            + "| the leg behind the call | prompt tokens found kept, of all legs | from"
            + " its arrival to its writing, ms p50 | p99 |\n"
            + "| --- | --- | --- | --- |");
    for (boolean anew : new boolean[] {false, true}) {
      AtomicLongArray kept = new AtomicLongArray(2);
      List<Long> times = run(anew, kept);
      long[] sorted = times.stream().mapToLong(t -> t).sorted().toArray();
      System.out.printf(
          Locale.ROOT,
          "| %s | %.2f | %.1f | %.1f |%n",
          anew ? "anywhere" : "where the module sends it",
          (double) kept.get(0) / kept.get(1),
          sorted[sorted.length / 2] / 1e3,
          sorted[(int) (sorted.length * 0.99)] / 1e3);
    }
  }

  private static List<Long> run(boolean anew, AtomicLongArray kept) throws Exception {
    GatewaySettings[] settings = new GatewaySettings[1];
    List<GatewaySettings.ClassSettings> classes =
        LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", s -> change(s)).classes();
    try (ScenarioFleet fleet = new ScenarioFleet(classes, 1);
        EmulatedProcess clients = new EmulatedProcess("clients", 1)) {
      int port = fleet.reservePort();
      for (int i = 0; i < READERS; i++) {
        EngineSettings reader = EngineSettings.quick("r" + i, "reader", "north", "r1");
        fleet.addEngine(
            new EngineSettings(
                reader.name(),
                reader.listen(),
                reader.role(),
                reader.kind(),
                reader.zone(),
                reader.rack(),
                reader.slots(),
                reader.queue(),
                10_000_000,
                READ_A_SECOND,
                reader.readMs(),
                reader.firstMs(),
                reader.tokenMs(),
                reader.coldShare(),
                0,
                null));
      }
      fleet.addEngine(
          EngineSettings.quick("w0", "writer", "north", "r1").withLimits(64, 64, 10_000_000));
      fleet.addEngine(
          EngineSettings.quick("w1", "writer", "north", "r1").withLimits(64, 64, 10_000_000));
      settings[0] =
          LoopbackSettings.gateway(
              "gw", 0, 1, "north", port, fleet.catalogueAddress(), s -> change(s));
      fleet.addGateway(settings[0], maker(anew, kept));
      if (!fleet.awaitServers("gw", READERS + 2, 10_000)) {
        throw new IllegalStateException("the gateway does not see its servers");
      }
      HttpClient http =
          new HttpClient(
              clients.loop(),
              clients.network(),
              new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 2_000, 1_000_000, 15_000_000));
      CountDownLatch done = new CountDownLatch(CALLS);
      AtomicInteger number = new AtomicInteger();
      for (int i = 0; i < AT_A_TIME; i++) {
        clients.loop().execute(() -> next(clients, http, port, number, done));
      }
      if (!done.await(120, TimeUnit.SECONDS)) {
        throw new IllegalStateException(done.getCount() + " calls have not ended");
      }
      return times(fleet.events());
    }
  }

  private static void change(ObjectNode settings) {
    settings.putObject("overload").put("refuse", false);
    ((ObjectNode) settings.at("/classes/0")).put("deadlineMs", 60_000).put("aimMs", 20_000);
  }

  private static void next(
      EmulatedProcess clients,
      HttpClient http,
      int port,
      AtomicInteger number,
      CountDownLatch done) {
    int call = number.getAndIncrement();
    if (call >= CALLS) {
      return;
    }
    SplittableRandom random = new SplittableRandom(call);
    StringBuilder text = new StringBuilder("#m" + call + "# call the tool stock answer in 5 words");
    for (int i = 0; i < WORDS; i++) {
      text.append(" w").append(random.nextInt(100_000));
    }
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    messages.addObject().put("role", "user").put("content", text.toString());
    McpClient client =
        new McpClient(clients.loop(), http, new InetSocketAddress("127.0.0.1", port), "gw");
    client.open(
        ok ->
            client.call(
                new ToolCallRequest(
                    "sale-lookup",
                    0,
                    messages,
                    "talk-" + call,
                    List.of("stock"),
                    ToolBehaviour.ANSWER,
                    20_000,
                    100,
                    "m" + call,
                    false),
                ended -> {
                  done.countDown();
                  next(clients, http, port, number, done);
                }));
  }

  /** For each call, from the arrival of its second read to the second beginning of writing. */
  private static List<Long> times(List<TrafficEvent> events) {
    Map<String, List<TrafficEvent>> byMark = new LinkedHashMap<>();
    events.stream()
        .filter(
            e ->
                e.kind() == TrafficEvent.Kind.PREFILL
                    || e.kind() == TrafficEvent.Kind.DECODE_STARTED)
        .forEach(e -> byMark.computeIfAbsent(e.mark(), k -> new ArrayList<>()).add(e));
    List<Long> times = new ArrayList<>();
    byMark
        .values()
        .forEach(
            all -> {
              long[] reads =
                  all.stream()
                      .filter(e -> e.kind() == TrafficEvent.Kind.PREFILL)
                      .mapToLong(TrafficEvent::atMicros)
                      .sorted()
                      .toArray();
              long[] writes =
                  all.stream()
                      .filter(e -> e.kind() == TrafficEvent.Kind.DECODE_STARTED)
                      .mapToLong(TrafficEvent::atMicros)
                      .sorted()
                      .toArray();
              long from =
                  Arrays.stream(reads)
                      .filter(r -> writes.length > 1 && r > writes[0])
                      .findFirst()
                      .orElse(-1);
              if (from > 0) {
                times.add(writes[1] - from);
              }
            });
    return times;
  }
}
