package lemondock.benchmark;

import java.io.IOException;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.net.nio.LoopbackPort;

/**
 * Compares the latency of the same paced streams through gateways that report no metrics, and that
 * report them to healthy, stalled and absent collectors. System properties: {@code streams} (in
 * each round), {@code rounds}.
 */
final class ReportingLatencyBenchmark implements Benchmark {
  private static final int WORDS = 150;
  private static final int ENGINE_SLOTS = 4_000;
  private static final int TOKEN_MILLIS = 20;
  private static final int LOAD_LOOPS = 2;
  private static final long DONE_TIMEOUT_SECONDS = 120;
  private static final int COLUMNS = 7;
  private static final double NANOS_PER_SECOND = 1e9;
  private static final double MILLIS_PER_SECOND = 1_000.0;
  private static final String HEADER =
      "| reports | first p99 us | token p50 us | token p99 us | token p99.9 us |"
          + " events/s | CPU s | failures |\n"
          + "| --- | --- | --- | --- | --- | --- | --- | --- |";

  private final int streams = Integer.getInteger("streams", 500);
  private final int rounds = Integer.getInteger("rounds", 5);

  /** A gateway with one setting of {@code reporting}, and its measured values. */
  private record Variant(ChildProcess gateway, RoundValues values) {}

  @Override
  public void run() throws Exception {
    try (ChildProcess engine = ChildProcess.engine("2g", ENGINE_SLOTS, TOKEN_MILLIS).start();
        GraphiteListener plaintext = new GraphiteListener(0, false, GraphiteListener.Fault.NONE);
        GraphiteListener pickle = new GraphiteListener(0, true, GraphiteListener.Fault.NONE);
        GraphiteListener stalled =
            new GraphiteListener(0, false, GraphiteListener.Fault.NEVER_READS);
        CollectdListener collectd = new CollectdListener(0, Map.of(), 1);
        LoopbackPort unused = LoopbackPort.reserve()) {
      int absentPort = unused.number();
      Map<String, String> reportingByVariant = new LinkedHashMap<>();
      reportingByVariant.put("off", GatewaySettingsFile.NO_REPORTS);
      reportingByVariant.put(
          "healthy", reportingJson(plaintext.port(), pickle.port(), collectd.port()));
      reportingByVariant.put("stalled", reportingJson(stalled.port(), stalled.port(), absentPort));
      reportingByVariant.put("absent", reportingJson(absentPort, absentPort, absentPort));
      Map<String, Variant> variants = startGateways(reportingByVariant, engine);
      measureRounds(variants);
      print(variants);
      System.out.println(
          "plaintext values received "
              + plaintext.received().values()
              + ", pickle "
              + pickle.received().values()
              + ", collectd "
              + collectd.received().values());
    }
  }

  private static String reportingJson(int plaintextPort, int picklePort, int collectdPort) {
    return "{\"tickMs\":1000,\"intervalMs\":1000,\"destinations\":[{\"name\":\"a\",\"kind\":\"graphite\",\"address\":"
               + "\"127.0.0.1:"
        + plaintextPort
        + "\"},{\"name\":\"b\",\"kind\":\"graphite-pickle\",\"address\":\"127.0.0.1:"
        + picklePort
        + "\"},{\"name\":\"c\",\"kind\":\"collectd\",\"address\":\"127.0.0.1:"
        + collectdPort
        + "\"}]}";
  }

  private Map<String, Variant> startGateways(
      Map<String, String> reportingByVariant, ChildProcess engine) throws IOException {
    Map<String, Variant> variants = new LinkedHashMap<>();
    for (Map.Entry<String, String> reporting : reportingByVariant.entrySet()) {
      GatewaySettingsFile settings =
          new GatewaySettingsFile(engine.port()).withReporting(reporting.getValue());
      ChildProcess gateway = ChildProcess.gateway("1g", settings.write()).start();
      variants.put(reporting.getKey(), new Variant(gateway, new RoundValues(COLUMNS, rounds)));
    }
    return variants;
  }

  private void measureRounds(Map<String, Variant> variants) throws Exception {
    for (int round = -1; round < rounds; round++) { // round -1 is a warm-up
      for (Variant variant : variants.values()) {
        variant.values().record(round, measure(variant.gateway()));
      }
    }
  }

  private double[] measure(ChildProcess gateway) throws Exception {
    try (StreamLoad load = new StreamLoad(LOAD_LOOPS)) {
      List<String> sessions = load.openSessions(gateway.port(), streams);
      CountDownLatch done = new CountDownLatch(streams);
      Duration cpuBefore = gateway.cpuTime();
      long startNanos = System.nanoTime();
      for (int i = 0; i < streams; i++) {
        String prompt = "#s" + i + "# stamp each word answer in " + WORDS + " words";
        load.stream(
            StreamRequest.toGateway(i, gateway.port(), sessions.get(i), prompt).withTimestamps(),
            done);
        Pacing.pauseAfterEach(5, i, 2);
      }
      done.await(DONE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      double seconds = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
      return new double[] {
        load.firstTokenMicros().getValueAtPercentile(99),
        load.tokenDelayMicros().getValueAtPercentile(50),
        load.tokenDelayMicros().getValueAtPercentile(99),
        load.tokenDelayMicros().getValueAtPercentile(99.9),
        load.events() / seconds,
        gateway.cpuTime().minus(cpuBefore).toMillis() / MILLIS_PER_SECOND,
        load.failures()
      };
    }
  }

  private static void print(Map<String, Variant> variants) {
    System.out.println(HEADER);
    variants.forEach(
        (name, variant) -> System.out.println("| " + name + variant.values().format() + " |"));
  }
}
