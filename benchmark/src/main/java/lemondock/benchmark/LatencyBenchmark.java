package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Measures the latency and cost of streams with a token every 20 ms on three routes: directly to
 * the emulated engine, through a plain byte relay on Netty, and through the gateway. System
 * properties: {@code streams}, {@code rounds}, {@code words} (of an answer), {@code threads} (of
 * the relay), {@code way} (prefix of the names of the routes to measure; all by default).
 */
final class LatencyBenchmark implements Benchmark {
  private static final int TOKEN_MILLIS = 20;
  private static final int ENGINE_SLOTS = 8_000;

  /** Time after the last stream has started until all streams run steadily. */
  private static final long SETTLE_MILLIS = 1_500;

  private static final long MIN_STEADY_MILLIS = 1_000;
  private static final long DONE_TIMEOUT_SECONDS = 120;
  private static final int LOAD_LOOPS = 2;
  private static final int COLUMNS = 11;
  private static final String HEADER =
      "| way | first p50 us | first p99 us | token p50 us | token p99 us |"
          + " token p99.9 us | CPU us a token | with calls begun and ended | engine's"
          + " | load's | failures | bytes allocated a token |\n"
          + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | ---"
          + " |";

  private final int streams = Integer.getInteger("streams", 1_000);
  private final int rounds = Integer.getInteger("rounds", 5);
  private final int words = Integer.getInteger("words", 500);
  private final int relayThreads = Integer.getInteger("threads", 2);
  private final String routePrefix = System.getProperty("way", "");

  /**
   * A route of streams.
   *
   * @param process the process that receives the requests of the clients
   * @param overGateway whether that process is the gateway
   * @param values what was measured in each round
   */
  private record Route(
      String name, ChildProcess process, boolean overGateway, RoundValues values) {}

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("2g", ENGINE_SLOTS, TOKEN_MILLIS).start();
        ChildProcess relay = ChildProcess.relay("1g", engine.port(), relayThreads).start();
        ChildProcess gateway = startGateway(engine)) {
      List<Route> routes =
          List.of(
              new Route("direct", engine, false, new RoundValues(COLUMNS, rounds)),
              new Route("netty", relay, false, new RoundValues(COLUMNS, rounds)),
              new Route("gateway", gateway, true, new RoundValues(COLUMNS, rounds)));
      for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
        for (Route route : routes) {
          if (route.name().startsWith(routePrefix)) {
            route.values().record(round, measure(route, engine));
          }
        }
      }
      print(routes);
    }
  }

  private static ChildProcess startGateway(ChildProcess engine) throws IOException {
    Path settings = new GatewaySettingsFile(engine.port()).write();
    return ChildProcess.gateway("1g", settings).start();
  }

  /** The CPU time that each process has used, read before and after a round. */
  private record CpuReadings(Duration route, Duration engine, Duration load) {
    static CpuReadings now(Route route, ChildProcess engine) {
      return new CpuReadings(route.process().cpuTime(), engine.cpuTime(), CpuTime.ofThisProcess());
    }
  }

  /** The cost of one token while all streams run and none starts or ends. */
  private record TokenCost(double cpuMicros, double allocatedBytes) {}

  private double[] measure(Route route, ChildProcess engine) throws Exception {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
      List<String> sessions =
          route.overGateway() ? load.openSessions(route.process().port(), streams) : List.of();
      CountDownLatch done = new CountDownLatch(streams);
      CpuReadings before = CpuReadings.now(route, engine);
      startStreams(route, load, sessions, done);
      TokenCost cost = measureSteadyState(route, load);
      done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      CpuReadings after = CpuReadings.now(route, engine);
      return row(load, cost, before, after);
    }
  }

  private void startStreams(
      Route route, StreamLoad load, List<String> sessions, CountDownLatch done)
      throws InterruptedException {
    int port = route.process().port();
    for (int i = 0; i < streams; i++) {
      String prompt = "#s" + i + "# stamp each word answer in " + words + " words";
      StreamRequest request =
          route.overGateway()
              ? StreamRequest.toGateway(i, port, sessions.get(i), prompt)
              : StreamRequest.toEngine(i, port, prompt);
      load.stream(request.withTimestamps(), done);
      Pacing.pauseAfterEach(5, i, 2);
    }
  }

  /**
   * Measures the cost of a token while no stream starts or ends, to exclude the cost of a call and
   * of the JIT compiler.
   */
  private TokenCost measureSteadyState(Route route, StreamLoad load) throws Exception {
    ChildProcess process = route.process();
    Thread.sleep(SETTLE_MILLIS);
    long eventsBefore = load.events();
    Duration cpuBefore = process.cpuTime();
    long allocatedBytesBefore = route.overGateway() ? process.allocatedBytes() : 0;
    long streamMillis = (long) words * TOKEN_MILLIS;
    Thread.sleep(Math.max(MIN_STEADY_MILLIS, streamMillis - 2 * SETTLE_MILLIS - streams / 2));
    double events = load.events() - eventsBefore;
    double cpuMicros = CpuTime.microsPerEvent(cpuBefore, process.cpuTime(), events);
    double allocatedBytes =
        route.overGateway() ? (process.allocatedBytes() - allocatedBytesBefore) / events : 0;
    return new TokenCost(cpuMicros, allocatedBytes);
  }

  private static double[] row(
      StreamLoad load, TokenCost cost, CpuReadings before, CpuReadings after) {
    Histogram firstToken = load.firstTokenMicros();
    Histogram tokenDelay = load.tokenDelayMicros();
    double events = load.events();
    return new double[] {
      firstToken.getValueAtPercentile(50),
      firstToken.getValueAtPercentile(99),
      tokenDelay.getValueAtPercentile(50),
      tokenDelay.getValueAtPercentile(99),
      tokenDelay.getValueAtPercentile(99.9),
      cost.cpuMicros(),
      CpuTime.microsPerEvent(before.route(), after.route(), events),
      CpuTime.microsPerEvent(before.engine(), after.engine(), events),
      CpuTime.microsPerEvent(before.load(), after.load(), events),
      load.failures(),
      cost.allocatedBytes()
    };
  }

  private void print(List<Route> routes) {
    System.out.println(
        streams
            + " streams of "
            + words
            + " tokens, one every 20 ms; "
            + rounds
            + " rounds, median (spread)\n"
            + HEADER);
    for (Route route : routes) {
      System.out.println("| " + route.name() + route.values().format() + " |");
    }
  }
}
