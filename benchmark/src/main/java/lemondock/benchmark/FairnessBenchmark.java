package lemondock.benchmark;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Paced streams over the one I/O thread of a gateway: alone, while giants take much from the same
 * engine beside the gateway, and while the giants come over the same thread. The difference of the
 * last two is what the giants do to their neighbours. System property: {@code rounds}.
 */
final class FairnessBenchmark implements Benchmark {
  private static final int STREAMS = 200;
  private static final int GIANTS = 4;
  private static final int ENGINE_SLOTS = 8_000;
  private static final int TOKEN_MILLIS = 20;
  private static final int LOAD_LOOPS = 2;
  private static final int COLUMNS = 4;
  private static final long DONE_WAIT_SECONDS = 120;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final String GIANT_PROMPT =
      " answer in 100000 words of 8000 letters without pause";

  private final int rounds = Integer.getInteger("rounds", 5);

  /** Where the giants' streams go. */
  private enum GiantRoute {
    NONE("none"),
    BESIDE_GATEWAY("beside the gateway"),
    SAME_THREAD("over the same shard");

    private final String label;

    GiantRoute(String label) {
      this.label = label;
    }
  }

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("2g", ENGINE_SLOTS, TOKEN_MILLIS).start()) {
      Path settings = new GatewaySettingsFile(engine.port()).withIoThreads(1).write();
      try (ChildProcess gateway = ChildProcess.gateway("1g", settings).start()) {
        printHeader();
        for (GiantRoute route : GiantRoute.values()) {
          RoundValues values = new RoundValues(COLUMNS, rounds);
          for (int round = -1; round < rounds; round++) { // the first warms up
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
            + GIANTS
            + " giants; "
            + rounds
            + " rounds, median (spread)\n"
            + "| giants | token p50 us | token p99 us | token p99.9 us | giants' events"
            + " a second |\n"
            + "| --- | --- | --- | --- | --- |");
  }

  private static double[] measure(GiantRoute route, ChildProcess engine, ChildProcess gateway)
      throws Exception {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS);
        StreamLoad giants = new StreamLoad(1)) {
      List<String> sessions = load.openSessions(gateway.port(), STREAMS + GIANTS);
      CountDownLatch done = new CountDownLatch(STREAMS);
      final long startNanos = System.nanoTime();
      startGiants(giants, route, engine, gateway, sessions);
      for (int i = 0; i < STREAMS; i++) {
        String prompt = "#s" + i + "# stamp each word answer in 200 words";
        load.stream(
            StreamRequest.toGateway(i, gateway.port(), sessions.get(i), prompt).withTimestamps(),
            done);
      }
      done.await(DONE_WAIT_SECONDS, TimeUnit.SECONDS);
      double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      return new double[] {
        load.tokenDelayMicros().getValueAtPercentile(50),
        load.tokenDelayMicros().getValueAtPercentile(99),
        load.tokenDelayMicros().getValueAtPercentile(99.9),
        giants.events() / seconds
      };
    }
  }

  /** The giants' streams do not end by themselves: they are cut with their load. */
  private static void startGiants(
      StreamLoad giants,
      GiantRoute route,
      ChildProcess engine,
      ChildProcess gateway,
      List<String> sessions) {
    for (int i = 0; route != GiantRoute.NONE && i < GIANTS; i++) {
      String prompt = "#g" + i + "#" + GIANT_PROMPT;
      StreamRequest request =
          route == GiantRoute.SAME_THREAD
              ? StreamRequest.toGateway(i, gateway.port(), sessions.get(STREAMS + i), prompt)
              : StreamRequest.toEngine(i, engine.port(), prompt);
      giants.stream(request, new CountDownLatch(1));
    }
  }
}
