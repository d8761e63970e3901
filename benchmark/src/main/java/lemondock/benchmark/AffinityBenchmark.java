package lemondock.benchmark;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
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
import lemondock.emulator.EngineSettings;
import lemondock.emulator.TrafficEvent;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.scenario.EmulatedProcess;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.McpClient;
import lemondock.scenario.ScenarioFleet;
import lemondock.scenario.ToolBehaviour;
import lemondock.scenario.ToolCallRequest;

/**
 * Measures the benefit of sending the turn after a tool call to the reader (prefill engine) that
 * has the conversation cached, compared with a reader that prefills it again. Reports the share of
 * prompt tokens found in the cache and the time from the turn's arrival at a reader to the start of
 * its decode. Between the two turns nothing is reserved for the call in either case. Uses emulated
 * engines.
 */
final class AffinityBenchmark implements Benchmark {
  private static final int CALLS = 200;
  private static final int CONCURRENT_CALLS = 4;
  private static final int PROMPT_WORDS = 3_000;
  private static final int ANSWER_WORDS = 5;
  private static final int READERS = 6;
  private static final int WRITERS = 2;
  private static final int WRITER_SLOTS = 64;
  private static final double READ_TOKENS_PER_SECOND = 20_000;
  private static final long MEMORY_TOKENS = 10_000_000;
  private static final long TOOL_MICROS = 20_000;
  private static final int MAX_TOKENS = 100;
  private static final String GATEWAY = "gw";
  private static final long SERVERS_TIMEOUT_MILLIS = 10_000;
  private static final long DONE_TIMEOUT_SECONDS = 120;
  private static final double MICROS_PER_MILLI = 1e3;

  @Override
  public void run() throws Exception {
    System.out.println(
        CALLS
            + " calls with one tool call each, prompts of "
            + PROMPT_WORDS
            + " words, "
            + READERS
            + " readers that prefill "
            + (int) READ_TOKENS_PER_SECOND
            + " tokens a second, "
            + CONCURRENT_CALLS
            + " calls at a time\n"
            + "| the leg behind the call | prompt tokens found kept, of all legs | from"
            + " its arrival to its writing, ms p50 | p99 |\n"
            + "| --- | --- | --- | --- |");
    measure("where the module sends it", PrefixCacheMeter.withAffinity());
    measure("anywhere", PrefixCacheMeter.withoutAffinity());
  }

  private static void measure(String name, PrefixCacheMeter meter) throws Exception {
    long[] sortedMicros = runAllCalls(meter).stream().mapToLong(Long::longValue).sorted().toArray();
    System.out.printf(
        Locale.ROOT,
        "| %s | %.2f | %.1f | %.1f |%n",
        name,
        meter.cachedShare(),
        sortedMicros[sortedMicros.length / 2] / MICROS_PER_MILLI,
        sortedMicros[(int) (sortedMicros.length * 0.99)] / MICROS_PER_MILLI);
  }

  /** Runs all calls; returns for each the time from its second prefill to its second decode. */
  private static List<Long> runAllCalls(PrefixCacheMeter meter) throws Exception {
    List<GatewaySettings.ClassSettings> classes = settings(1, "127.0.0.1:1").classes();
    try (ScenarioFleet fleet = new ScenarioFleet(classes, 1);
        EmulatedProcess clients = new EmulatedProcess("clients", 1)) {
      int port = fleet.reservePort();
      startFleet(fleet, port, meter);
      ToolCallers callers = new ToolCallers(clients, new InetSocketAddress("127.0.0.1", port));
      callers.run();
      return secondReadToWriteMicros(fleet.events());
    }
  }

  private static void startFleet(ScenarioFleet fleet, int port, PrefixCacheMeter meter) {
    for (int i = 0; i < READERS; i++) {
      fleet.addEngine(reader("r" + i));
    }
    for (int i = 0; i < WRITERS; i++) {
      fleet.addEngine(
          EngineSettings.quick("w" + i, "writer", "north", "r1")
              .withLimits(WRITER_SLOTS, WRITER_SLOTS, MEMORY_TOKENS));
    }
    fleet.addGateway(settings(port, fleet.catalogueAddress()), meter.routerFactory());
    if (!fleet.awaitServers(GATEWAY, READERS + WRITERS, SERVERS_TIMEOUT_MILLIS)) {
      throw new IllegalStateException(
          "gateway "
              + GATEWAY
              + " did not list all "
              + (READERS + WRITERS)
              + " servers within "
              + SERVERS_TIMEOUT_MILLIS
              + " ms");
    }
  }

  private static EngineSettings reader(String name) {
    EngineSettings quick = EngineSettings.quick(name, "reader", "north", "r1");
    return new EngineSettings(
        quick.name(),
        quick.listen(),
        quick.role(),
        quick.kind(),
        quick.zone(),
        quick.rack(),
        quick.slots(),
        quick.queue(),
        MEMORY_TOKENS,
        READ_TOKENS_PER_SECOND,
        quick.readMs(),
        quick.firstMs(),
        quick.tokenMs(),
        quick.coldShare(),
        0,
        null);
  }

  private static GatewaySettings settings(int port, String catalogueAddress) {
    return LoopbackSettings.gateway(
        GATEWAY, 0, 1, "north", port, catalogueAddress, AffinityBenchmark::relaxLimits);
  }

  private static void relaxLimits(ObjectNode settings) {
    settings.putObject("overload").put("refuse", false);
    ((ObjectNode) settings.at("/classes/0")).put("deadlineMs", 60_000).put("aimMs", 20_000);
  }

  /** Clients that each send one call after another until {@link #CALLS} have been sent. */
  private static final class ToolCallers {
    private final EmulatedProcess process;
    private final HttpClient http;
    private final InetSocketAddress gateway;
    private final AtomicInteger started = new AtomicInteger();
    private final CountDownLatch done = new CountDownLatch(CALLS);

    ToolCallers(EmulatedProcess process, InetSocketAddress gateway) {
      this.process = process;
      this.gateway = gateway;
      this.http =
          new HttpClient(
              process.loop(),
              process.network(),
              new HttpClientOptions(HttpLimits.DEFAULT, 1 << 20, 2_000, 1_000_000, 15_000_000));
    }

    void run() throws InterruptedException {
      for (int i = 0; i < CONCURRENT_CALLS; i++) {
        process.loop().execute(this::startNext);
      }
      if (!done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
        throw new IllegalStateException(
            done.getCount()
                + " of "
                + CALLS
                + " calls did not end within "
                + DONE_TIMEOUT_SECONDS
                + " s");
      }
    }

    private void startNext() {
      int number = started.getAndIncrement();
      if (number >= CALLS) {
        return;
      }
      ToolCallRequest request = request(number);
      McpClient client = new McpClient(process.loop(), http, gateway, GATEWAY);
      client.open(
          opened ->
              client.call(
                  request,
                  ended -> {
                    done.countDown();
                    startNext();
                  }));
    }

    private static ToolCallRequest request(int number) {
      ArrayNode messages = JsonNodeFactory.instance.arrayNode();
      messages.addObject().put("role", "user").put("content", prompt(number));
      return new ToolCallRequest(
          RequestBodies.DEFAULT_TOOL,
          0,
          messages,
          "talk-" + number,
          List.of(ToolCallPrompt.TOOL),
          ToolBehaviour.ANSWER,
          TOOL_MICROS,
          MAX_TOKENS,
          "m" + number,
          false);
    }

    private static String prompt(int number) {
      SplittableRandom random = new SplittableRandom(number);
      StringBuilder text = new StringBuilder(ToolCallPrompt.text("m" + number, ANSWER_WORDS));
      for (int i = 0; i < PROMPT_WORDS; i++) {
        text.append(" w").append(random.nextInt(100_000));
      }
      return text.toString();
    }
  }

  /**
   * Returns, for each call, the microseconds from the arrival of its second prefill to the start of
   * its second decode.
   */
  private static List<Long> secondReadToWriteMicros(List<TrafficEvent> events) {
    Map<String, List<TrafficEvent>> eventsByCall = new LinkedHashMap<>();
    for (TrafficEvent event : events) {
      eventsByCall.computeIfAbsent(event.mark(), ignored -> new ArrayList<>()).add(event);
    }
    List<Long> micros = new ArrayList<>();
    for (List<TrafficEvent> callEvents : eventsByCall.values()) {
      long[] reads = sortedTimesMicros(callEvents, TrafficEvent.Kind.PREFILL);
      long[] writes = sortedTimesMicros(callEvents, TrafficEvent.Kind.DECODE_STARTED);
      if (writes.length > 1) {
        Arrays.stream(reads)
            .filter(read -> read > writes[0])
            .findFirst()
            .ifPresent(read -> micros.add(writes[1] - read));
      }
    }
    return micros;
  }

  private static long[] sortedTimesMicros(List<TrafficEvent> events, TrafficEvent.Kind kind) {
    return events.stream()
        .filter(event -> event.kind() == kind)
        .mapToLong(TrafficEvent::atMicros)
        .sorted()
        .toArray();
  }
}
