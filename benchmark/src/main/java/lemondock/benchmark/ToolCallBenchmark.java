package lemondock.benchmark;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.Gateway;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.scenario.EmulatedProcess;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.McpClient;
import lemondock.scenario.ScenarioFleet;

/**
 * Measures the latency that a gateway adds to a tool call, compared with a client that calls the
 * engine directly: the time from the end of the engine's turn that calls the tool to the arrival of
 * the next turn, with a tool that takes no time. Uses an emulated engine and one call at a time.
 * System property: {@code rounds}.
 */
final class ToolCallBenchmark implements Benchmark {
  private static final int CALLS = 150;
  private static final String ENGINE = "m";
  private static final String GATEWAY = "gw";
  private static final long SERVERS_TIMEOUT_MILLIS = 10_000;
  private static final long DONE_TIMEOUT_SECONDS = 120;

  /** A call has two turns, each with an arrival and an end. */
  private static final int EVENTS_PER_CALL = 4;

  private static final int CALLING_TURN_END = 1;
  private static final int NEXT_TURN_ARRIVAL = 2;

  private final int rounds = Integer.getInteger("rounds", 5);

  /** Runs calls one after the other; their names begin with {@code namePrefix}. */
  private interface Caller {
    void start(String namePrefix, CountDownLatch done);
  }

  @Override
  public void run() throws Exception {
    RoundValues direct = new RoundValues(2, rounds);
    RoundValues relayed = new RoundValues(2, rounds);
    try (ScenarioFleet fleet = new ScenarioFleet(requestClasses(), 1);
        EmulatedProcess clients = new EmulatedProcess("clients", 1)) {
      int port = fleet.reservePort();
      startFleet(fleet, port);
      HttpClient http =
          new HttpClient(
              clients.loop(),
              clients.network(),
              new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 2_000, 1_000_000, 15_000_000));
      InetSocketAddress engine = fleet.engine(ENGINE).address();
      InetSocketAddress gateway = new InetSocketAddress("127.0.0.1", port);
      Caller directCaller =
          (prefix, done) -> new DirectToolCalls(http, engine, prefix, done).start();
      Caller relayedCaller =
          (prefix, done) -> {
            McpClient client = new McpClient(clients.loop(), http, gateway, GATEWAY);
            new RelayedToolCalls(client, prefix, done).start();
          };
      for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
        String prefix = "x" + (round + 1);
        direct.record(round, measure(fleet, clients, directCaller, prefix + "-0-"));
        relayed.record(round, measure(fleet, clients, relayedCaller, prefix + "-1-"));
      }
    }
    print(direct, relayed);
  }

  private static List<GatewaySettings.ClassSettings> requestClasses() {
    return LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", settings -> {}).classes();
  }

  private static void startFleet(ScenarioFleet fleet, int port) {
    fleet.addEngine(EngineSettings.quick(ENGINE, "mixed", "north", "r1"));
    GatewaySettings settings =
        LoopbackSettings.gateway(
            GATEWAY,
            0,
            1,
            "north",
            port,
            fleet.catalogueAddress(),
            json -> json.putObject("overload").put("refuse", false));
    fleet.addGateway(settings, Gateway.DEFAULT_ROUTER_FACTORY);
    if (!fleet.awaitServers(GATEWAY, 1, SERVERS_TIMEOUT_MILLIS)) {
      throw new IllegalStateException(
          "gateway "
              + GATEWAY
              + " did not list engine "
              + ENGINE
              + " within "
              + SERVERS_TIMEOUT_MILLIS
              + " ms");
    }
  }

  /** Returns the median and the 99th percentile of the time between two turns, in microseconds. */
  private static double[] measure(
      ScenarioFleet fleet, EmulatedProcess clients, Caller caller, String prefix)
      throws InterruptedException {
    CountDownLatch done = new CountDownLatch(CALLS);
    clients.loop().execute(() -> caller.start(prefix, done));
    if (!done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException(
          done.getCount()
              + " of "
              + CALLS
              + " calls "
              + prefix
              + "* did not end within "
              + DONE_TIMEOUT_SECONDS
              + " s");
    }
    long[] sortedMicros = microsBetweenTurns(fleet.events(), prefix);
    return new double[] {
      sortedMicros[sortedMicros.length / 2], sortedMicros[(int) (sortedMicros.length * 0.99)]
    };
  }

  private static long[] microsBetweenTurns(List<TrafficEvent> events, String prefix) {
    Map<String, List<TrafficEvent>> eventsByCall = new LinkedHashMap<>();
    for (TrafficEvent event : events) {
      boolean isTurnBoundary =
          event.kind() == TrafficEvent.Kind.DECODE || event.kind() == TrafficEvent.Kind.ANSWERED;
      if (isTurnBoundary && event.mark().startsWith(prefix)) {
        eventsByCall.computeIfAbsent(event.mark(), absent -> new ArrayList<>()).add(event);
      }
    }
    return eventsByCall.values().stream()
        .filter(turns -> turns.size() == EVENTS_PER_CALL)
        .mapToLong(
            turns ->
                turns.get(NEXT_TURN_ARRIVAL).atMicros() - turns.get(CALLING_TURN_END).atMicros())
        .sorted()
        .toArray();
  }

  private void print(RoundValues direct, RoundValues relayed) {
    System.out.println(
        CALLS
            + " calls with one tool call each, one at a time, "
            + rounds
            + " rounds, median (spread)\n"
            + "| client speaks with | from the calling turn's end to the next turn's"
            + " arrival, us p50 | p99 |\n"
            + "| --- | --- | --- |");
    System.out.println(
        "| the engine" + direct.format() + " |\n| the gateway" + relayed.format() + " |");
    System.out.printf(Locale.ROOT, "added at p50: %.0f us%n", relayed.median(0) - direct.median(0));
  }
}
