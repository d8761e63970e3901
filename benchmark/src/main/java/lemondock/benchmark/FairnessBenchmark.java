package lemondock.benchmark;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Measures how heavy streams ("giants" in the printed table) delay paced streams on the only I/O
 * thread of a gateway. The paced streams run alone, while heavy streams read from the same engine
 * without passing the gateway, and while the heavy streams pass the same I/O thread. The difference
 * between the last two is the effect of sharing the thread. System property: {@code rounds}.
 */
final class FairnessBenchmark implements Benchmark {
  private static final int STREAMS = 200;
  private static final int HEAVY_STREAMS = 4;
  private static final int ENGINE_SLOTS = 8_000;
  private static final int TOKEN_MILLIS = 20;
  private static final int LOAD_LOOPS = 2;
  private static final int COLUMNS = 4;
  private static final long DONE_TIMEOUT_SECONDS = 120;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final String HEAVY_PROMPT =
      " answer in 100000 words of 8000 letters without pause";

  private final int rounds = Integer.getInteger("rounds", 5);

  /** The path of the heavy streams. */
  private enum HeavyStreamRoute {
    NONE("none"),
    BESIDE_GATEWAY("beside the gateway"),
    SAME_THREAD("over the same shard");

    private final String label;

    HeavyStreamRoute(String label) {
      this.label = label;
    }
  }

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("2g", ENGINE_SLOTS, TOKEN_MILLIS).start()) {
      Path settings = new GatewaySettingsFile(engine.port()).withIoThreads(1).write();
      try (ChildProcess gateway = ChildProcess.gateway("1g", settings).start()) {
        printHeader();
        for (HeavyStreamRoute route : HeavyStreamRoute.values()) {
          RoundValues values = new RoundValues(COLUMNS, rounds);
          for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
            values.record(round, measure(route, engine, gateway));
          }
          System.out.println("| " + route.label + values.format() + " |");
        }
      }
    }
  }

  private void printHeader() {
    System.out.println(
        STREAMS
            + " streams of 200 tokens at 20 ms over one I/O thread, "
            + HEAVY_STREAMS
            + " giants; "
            + rounds
            + " rounds, median (spread)\n"
            + "| giants | token p50 us | token p99 us | token p99.9 us | giants' events"
            + " a second |\n"
            + "| --- | --- | --- | --- | --- |");
  }

  private static double[] measure(HeavyStreamRoute route, ChildProcess engine, ChildProcess gateway)
      throws Exception {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS);
        StreamLoad heavyLoad = new StreamLoad(1)) {
      List<String> sessions = load.openSessions(gateway.port(), STREAMS + HEAVY_STREAMS);
      CountDownLatch done = new CountDownLatch(STREAMS);
      final long startNanos = System.nanoTime();
      startHeavyStreams(heavyLoad, route, engine, gateway, sessions);
      for (int i = 0; i < STREAMS; i++) {
        String prompt = "#s" + i + "# stamp each word answer in 200 words";
        load.stream(
            StreamRequest.toGateway(i, gateway.port(), sessions.get(i), prompt).withTimestamps(),
            done);
      }
      done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      return new double[] {
        load.tokenDelayMicros().getValueAtPercentile(50),
        load.tokenDelayMicros().getValueAtPercentile(99),
        load.tokenDelayMicros().getValueAtPercentile(99.9),
        heavyLoad.events() / seconds
      };
    }
  }

  /** Starts the heavy streams. They do not end by themselves; closing their load cuts them. */
  private static void startHeavyStreams(
      StreamLoad heavyLoad,
      HeavyStreamRoute route,
      ChildProcess engine,
      ChildProcess gateway,
      List<String> sessions) {
    for (int i = 0; route != HeavyStreamRoute.NONE && i < HEAVY_STREAMS; i++) {
      String prompt = "#g" + i + "#" + HEAVY_PROMPT;
      StreamRequest request =
          route == HeavyStreamRoute.SAME_THREAD
              ? StreamRequest.toGateway(i, gateway.port(), sessions.get(STREAMS + i), prompt)
              : StreamRequest.toEngine(i, engine.port(), prompt);
      heavyLoad.stream(request, new CountDownLatch(1));
    }
  }
}
