package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
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
import lemondock.net.http.Headers;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpEncoder;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.RequestFailure;
import lemondock.net.http.ResponseReceiver;
import lemondock.scenario.EmulatedProcess;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.McpClient;
import lemondock.scenario.ScenarioFleet;
import lemondock.scenario.ToolBehaviour;
import lemondock.scenario.ToolCallRequest;

/**
 * What a tool call takes more when it is relayed by a gateway than when a client speaks with the
 * engine itself: from the end of the engine's turn that calls to the arrival of the next one, with
 * a tool that takes no time. Stand-in engine, one call at a time.
 */
final class ToolCallBenchmark {
  private static final int CALLS = 150;
  private static final String PROMPT = " call the tool stock answer in 3 words";

  private ToolCallBenchmark() {}

  static void measure() throws Exception {
    int rounds = Integer.getInteger("rounds", 5);
    List<GatewaySettings.ClassSettings> classes =
        LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", s -> {}).classes();
    double[][][] rows = new double[2][2][rounds];
    try (ScenarioFleet fleet = new ScenarioFleet(classes, 1);
        EmulatedProcess clients = new EmulatedProcess("clients", 1)) {
      int port = fleet.reservePort();
      fleet.addEngine(EngineSettings.quick("m", "mixed", "north", "r1"));
      fleet.addGateway(
          LoopbackSettings.gateway(
              "gw",
              0,
              1,
              "north",
              port,
              fleet.catalogueAddress(),
              s -> s.putObject("overload").put("refuse", false)),
          Gateway.DEFAULT_ROUTER_FACTORY);
      if (!fleet.awaitServers("gw", 1, 10_000)) {
        throw new IllegalStateException("the gateway does not see its server");
      }
      HttpClient http =
          new HttpClient(
              clients.loop(),
              clients.network(),
              new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 2_000, 1_000_000, 15_000_000));
      InetSocketAddress engine = fleet.engine("m").address();
      for (int round = -1; round < rounds; round++) { // the first warms up
        for (int way = 0; way < 2; way++) {
          String mark = "x" + (round + 1) + "-" + way + "-";
          CountDownLatch done = new CountDownLatch(CALLS);
          boolean through = way == 1;
          clients
              .loop()
              .execute(
                  () -> {
                    if (through) {
                      relayed(
                          new McpClient(
                              clients.loop(), http, new InetSocketAddress("127.0.0.1", port), "gw"),
                          mark,
                          0,
                          done);
                    } else {
                      direct(http, engine, mark, 0, done);
                    }
                  });
          if (!done.await(120, TimeUnit.SECONDS)) {
            throw new IllegalStateException(done.getCount() + " calls have not ended");
          }
          if (round >= 0) {
            long[] sorted = between(fleet.events(), mark);
            rows[way][0][round] = sorted[sorted.length / 2];
            rows[way][1][round] = sorted[(int) (sorted.length * 0.99)];
          }
        }
      }
    }
    System.out.println(
        CALLS
            + " calls with one tool call each, one at a time, "
            + rounds
            + " rounds, median (spread)\n"
            + "| client speaks with | from the calling turn's end to the next turn's"
            + " arrival, us p50 | p99 |\n"
            + "| --- | --- | --- |");
    System.out.println(
        "| the engine"
            + BenchmarkMain.columns(rows[0])
            + " |\n| the gateway"
            + BenchmarkMain.columns(rows[1])
            + " |");
    System.out.printf(
        Locale.ROOT, "added at p50: %.0f us%n", median(rows[1][0]) - median(rows[0][0]));
  }

  private static double median(double[] values) {
    double[] sorted = values.clone();
    java.util.Arrays.sort(sorted);
    return sorted[sorted.length / 2];
  }

  private static long[] between(List<TrafficEvent> events, String begin) {
    Map<String, List<TrafficEvent>> byMark = new LinkedHashMap<>();
    events.stream()
        .filter(
            e ->
                e.mark().startsWith(begin)
                    && (e.kind() == TrafficEvent.Kind.DECODE
                        || e.kind() == TrafficEvent.Kind.ANSWERED))
        .forEach(e -> byMark.computeIfAbsent(e.mark(), k -> new ArrayList<>()).add(e));
    return byMark.values().stream()
        .filter(all -> all.size() == 4)
        .mapToLong(all -> all.get(2).atMicros() - all.get(1).atMicros())
        .sorted()
        .toArray();
  }

  private static void relayed(McpClient client, String mark, int number, CountDownLatch done) {
    if (number == CALLS) {
      return;
    }
    ArrayNode messages = JsonNodeFactory.instance.arrayNode();
    messages.addObject().put("role", "user").put("content", "#" + mark + number + "#" + PROMPT);
    client.open(
        ok ->
            client.call(
                new ToolCallRequest(
                    "sale-lookup",
                    0,
                    messages,
                    null,
                    List.of("stock"),
                    ToolBehaviour.ANSWER,
                    0,
                    100,
                    mark + number,
                    false),
                ended -> {
                  done.countDown();
                  relayed(client, mark, number + 1, done);
                }));
  }

  private static void direct(
      HttpClient http, InetSocketAddress engine, String mark, int number, CountDownLatch done) {
    if (number == CALLS) {
      return;
    }
    ObjectNode body =
        JsonNodeFactory.instance
            .objectNode()
            .put("model", "m")
            .put("stream", true)
            .put("max_tokens", 100)
            .put("request_id", mark + number);
    ArrayNode messages = body.putArray("messages");
    messages.addObject().put("role", "user").put("content", "#" + mark + number + "#" + PROMPT);
    body.putArray("tools")
        .addObject()
        .put("type", "function")
        .putObject("function")
        .put("name", "stock");
    complete(
        http,
        engine,
        body,
        () -> {
          ObjectNode said =
              messages.addObject().put("role", "assistant").put("content", " a0 a1 a2 a3");
          said.putArray("tool_calls")
              .addObject()
              .put("id", "call_0_0")
              .put("type", "function")
              .putObject("function")
              .put("name", "stock")
              .put("arguments", "{}");
          messages
              .addObject()
              .put("role", "tool")
              .put("tool_call_id", "call_0_0")
              .put("content", "did-stock");
          complete(
              http,
              engine,
              body,
              () -> {
                done.countDown();
                direct(http, engine, mark, number + 1, done);
              });
        });
  }

  private static void complete(
      HttpClient http, InetSocketAddress engine, ObjectNode body, Runnable then) {
    http.send(
        engine,
        HttpEncoder.request(
            "POST",
            "/v1/chat/completions",
            Headers.of("host", "x", "user-agent", "direct", "content-type", "application/json"),
            body.toString().getBytes(StandardCharsets.UTF_8)),
        new ResponseReceiver() {
          @Override
          public void onComplete() {
            then.run();
          }

          @Override
          public void onFailure(RequestFailure failure, String what) {
            System.err.println("the engine: " + failure + ", " + what); // the latch says the rest
          }
        });
  }
}
