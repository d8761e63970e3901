package lemondock.benchmark;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures the gateway's CPU time and heap without load, with idle connections, and with streams
 * whose clients do not read. System properties: {@code idle} (connections), {@code stalled}
 * (streams).
 */
final class IdleCostBenchmark implements Benchmark {
  private static final int ENGINE_SLOTS = 40_000;
  private static final int TOKEN_MILLIS = 1;
  private static final long STARTUP_SECONDS = 3;
  private static final long IDLE_SETTLE_SECONDS = 2;
  private static final long STALL_SETTLE_SECONDS = 20;

  private final int idleConnections = Integer.getInteger("idle", 5_000);
  private final int stalledStreams = Integer.getInteger("stalled", 100);

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("4g", ENGINE_SLOTS, TOKEN_MILLIS).start()) {
      Path settings = new GatewaySettingsFile(engine.port()).write();
      try (ChildProcess gateway = ChildProcess.gateway("1g", settings).start()) {
        System.out.println(
            "| | CPU % of one processor, median (spread) of 10 times 1 s | heap MB after a"
                + " collection |\n"
                + "| --- | --- | --- |");
        TimeUnit.SECONDS.sleep(STARTUP_SECONDS);
        printRow("nothing", gateway);
        measureIdleConnections(gateway);
        measureStalledStreams(gateway);
      }
    }
  }

  private void measureIdleConnections(ChildProcess gateway)
      throws IOException, InterruptedException {
    try (UnreadCalls connections = new UnreadCalls()) {
      for (int i = 0; i < idleConnections; i++) {
        connections.connect(gateway.port());
      }
      TimeUnit.SECONDS.sleep(IDLE_SETTLE_SECONDS);
      printRow(idleConnections + " idle connections", gateway);
    }
  }

  private void measureStalledStreams(ChildProcess gateway)
      throws IOException, InterruptedException {
    try (UnreadCalls calls = new UnreadCalls();
        StreamLoad load = new StreamLoad(1)) {
      List<String> sessions = load.openSessions(gateway.port(), stalledStreams);
      for (int i = 0; i < stalledStreams; i++) {
        String prompt = "#q" + i + "# answer in 100000 words of 8000 letters without pause";
        calls.post(gateway.port(), sessions.get(i), RequestBodies.call(i, prompt));
      }
      TimeUnit.SECONDS.sleep(STALL_SETTLE_SECONDS);
      printRow(stalledStreams + " stalled streams", gateway);
    }
  }

  private static void printRow(String load, ChildProcess gateway)
      throws IOException, InterruptedException {
    System.out.println(
        "| "
            + load
            + " | "
            + CpuTime.formatShare(gateway)
            + " | "
            + gateway.collectAndMeasure().heapMegabytes()
            + " |");
  }
}
