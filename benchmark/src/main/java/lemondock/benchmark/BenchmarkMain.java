package lemondock.benchmark;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.net.nio.LoopbackPort;
import org.HdrHistogram.Histogram;
import org.slf4j.LoggerFactory;

/**
 * The measurements of docs/PERFORMANCE.md. Each part runs gateway, engines and baseline as
 * processes of their own on this machine and prints ratios within one run. {@code all}, {@code
 * latency}, {@code relay}, {@code open}, {@code overload}, {@code recovery}, {@code threads},
 * {@code fair}, {@code quiet}, {@code decisions}; for reports {@code recording}, {@code reports},
 * {@code reporting} and {@code detector}.
 */
public final class BenchmarkMain {
  private BenchmarkMain() {}

  /** Runs a measurement, or one of its processes. */
  public static void main(String[] args) throws Exception {
    ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
    String what = args.length == 0 ? "all" : args[0];
    try {
      switch (what) {
        case "engine" ->
            BenchmarkProcesses.engine(Integer.parseInt(args[1]), Double.parseDouble(args[2]));
        case "gateway" -> BenchmarkProcesses.gateway(Path.of(args[1]));
        case "relay-process" ->
            BenchmarkProcesses.relay(Integer.parseInt(args[1]), Integer.parseInt(args[2]));
        case "firehose" -> BenchmarkProcesses.firehose(Integer.parseInt(args[1]));
        case "latency" -> latency();
        case "relay" -> relay();
        case "affinity" -> AffinityBenchmark.measure();
        case "toolcall" -> ToolCallBenchmark.measure();
        case "ledger" -> IdempotencyLogBenchmark.measure();
        case "waiting" -> waiting();
        case "open" -> open();
        case "overload" -> OverloadBenchmark.measure();
        case "recovery" -> OverloadBenchmark.recovery();
        case "threads" -> threads();
        case "fair" -> fair();
        case "quiet" -> quiet();
        case "recording" -> MetricRecordingBenchmark.run();
        case "reports" -> ReportBenchmark.run();
        case "reporting" -> reporting();
        case "detector", "detector-days" -> DegradationDetectorBenchmark.main(args);
        case "decisions" -> DecisionBenchmark.run();
        case "all" -> {
          DecisionBenchmark.run();
          latency();
          relay();
          open();
        }
        default ->
            System.err.println(
                "usage: benchmark"
                    + " [all|latency|relay|open|overload|recovery|threads|fair"
                    + "|quiet|waiting|ledger|affinity|toolcall"
                    + "|decisions|recording|reports|reporting|detector"
                    + " FILE...]");
      }
    } finally {
      ChildProcess.endAll();
    }
  }

  /** Milliseconds between two tokens, and until streams that were begun run evenly. */
  private static final long PACE = 20;

  private static final long SETTLES = 1_500;

  private static Path settings(int... engines) throws IOException {
    return settings("{\"tickMs\":10,\"intervalMs\":10}", engines);
  }

  static Path settings(String reporting, int... engines) throws IOException {
    StringBuilder list = new StringBuilder("{\"servers\":[");
    for (int i = 0; i < engines.length; i++) {
      list.append(i == 0 ? "" : ",")
          .append("{\"name\":\"m")
          .append(i)
          .append("\",\"address\":\"127.0.0.1:")
          .append(engines[i])
          .append("\",\"kind\":\"mixed\",\"zone\":\"north\",\"rack\":\"r1\"}");
    }
    Path folder = Files.createTempDirectory("lemondock-benchmark");
    Path file = folder.resolve("list.json");
    Files.writeString(file, list.append("]}"));
    Path settings = folder.resolve("gateway.json");
    Files.writeString(
        settings,
        "{\"name\":\"gw\",\"reporting\":"
            + reporting
            + ",\"front\":{\"listen\":\"127.0.0.1:0\",\"maxConnections\":40000,"
            + "\"maxSessions\":40000,\"replayBytes\":4096},\"limits\":{\"maxCalls\":40000},"
            + "\"engines\":{\"maxConnectionsPerServer\":40000,\"streamSilenceMs\":60000,\"connectTimeoutMs\":5000},"
            + "\"discovery\":{\"kind\":\"file\",\"path\":\""
            + file
            + "\"},\"classes\":[{\"name\":\"sale-lookup\","
            + "\"aimMs\":60000,\"deadlineMs\":120000,\"maxTokens\":1000000,\"tokenAimMs\":2000}],"
            + "\"kinds\":[{\"name\":\"mixed\",\"role\":\"mixed\",\"memoryTokens\":100000000000}]}");
    return settings;
  }

  private static String micros(Histogram h) {
    return String.format(
        Locale.ROOT,
        "p50 %d, p99 %d, p99.9 %d us",
        h.getValueAtPercentile(50),
        h.getValueAtPercentile(99),
        h.getValueAtPercentile(99.9));
  }

  /**
   * Streams of a token every 20 ms: straight to the stand-in, over a bare Netty relay of bytes, and
   * over the gateway.
   */
  private static void latency() throws Exception {
    int streams = Integer.getInteger("streams", 1000);
    int rounds = Integer.getInteger("rounds", 5);
    int words = Integer.getInteger("words", 500);
    int threads = Integer.getInteger("threads", 2);
    ChildProcess engine = new ChildProcess("2g", "engine", "8000", "20");
    ChildProcess netty =
        new ChildProcess(
            "1g", "relay-process", Integer.toString(engine.port), Integer.toString(threads));
    ChildProcess gateway = new ChildProcess("1g", "gateway", settings(engine.port).toString());
    String[] ways = {"direct", "netty", "gateway"};
    ChildProcess[] children = {engine, netty, gateway};
    double[][][] rows = new double[ways.length][11][rounds];
    for (int round = -1; round < rounds; round++) { // the first warms up
      for (int w = 0; w < ways.length; w++) {
        if (!ways[w].startsWith(System.getProperty("way", ""))) {
          continue;
        }
        ChildProcess child = children[w];
        try (StreamLoad load = new StreamLoad(2)) {
          List<String> sessions = w == 2 ? load.sessions(child.port, streams) : List.of();
          CountDownLatch done = new CountDownLatch(streams);
          final Duration before = child.cpu();
          final Duration engineBefore = engine.cpu();
          final Duration loadBefore =
              ProcessHandle.current().info().totalCpuDuration().orElse(Duration.ZERO);
          for (int i = 0; i < streams; i++) {
            String prompt = "#s" + i + "# stamp each word answer in " + words + " words";
            load.stream(
                i,
                child.port,
                w == 2 ? sessions.get(i) : null,
                w == 2 ? StreamLoad.call(i, prompt) : StreamLoad.direct(prompt),
                true,
                done);
            if (i % 5 == 4) {
              Thread.sleep(2); // arrivals over some time, not all at once
            }
          }
          // while all streams run and none begins or ends: what a token costs, not a call
          // and not the compiler
          Thread.sleep(SETTLES);
          long tokens = load.events.get();
          Duration from = child.cpu();
          long allocatedBefore = w == 2 ? child.allocated() : 0;
          Thread.sleep(Math.max(1_000, words * PACE - 2 * SETTLES - streams / 2));
          long tokensAfter = load.events.get();
          double perToken = child.cpu().minus(from).toNanos() / 1e3 / (tokensAfter - tokens);
          double bytes =
              w == 2 ? (child.allocated() - allocatedBefore) / (double) (tokensAfter - tokens) : 0;
          done.await(120, TimeUnit.SECONDS);
          if (round >= 0) {
            double events = load.events.get();
            double[] row = {
              load.first.getValueAtPercentile(50),
              load.first.getValueAtPercentile(99),
              load.transit.getValueAtPercentile(50),
              load.transit.getValueAtPercentile(99),
              load.transit.getValueAtPercentile(99.9),
              perToken,
              child.cpu().minus(before).toNanos() / 1e3 / events,
              engine.cpu().minus(engineBefore).toNanos() / 1e3 / events,
              ProcessHandle.current()
                      .info()
                      .totalCpuDuration()
                      .orElse(Duration.ZERO)
                      .minus(loadBefore)
                      .toNanos()
                  / 1e3
                  / events,
              load.failures.get(),
              bytes
            };
            for (int c = 0; c < row.length; c++) {
              rows[w][c][round] = row[c];
            }
          }
        }
      }
    }
    System.out.println(
        streams
            + " streams of "
            + words
            + " tokens, one every 20 ms; "
            + rounds
            + " rounds, median (spread)\n"
            + "| way | first p50 us | first p99 us | token p50 us | token p99 us |"
            + " token p99.9 us | CPU us a token | with calls begun and ended | engine's"
            + " | load's | failures | bytes allocated a token |\n"
            + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | ---"
            + " |");
    for (int w = 0; w < ways.length; w++) {
      StringBuilder line = new StringBuilder("| " + ways[w]);
      for (double[] column : rows[w]) {
        double[] sorted = column.clone();
        java.util.Arrays.sort(sorted);
        line.append(
            String.format(
                Locale.ROOT,
                " | %.4g (%.4g to %.4g)",
                sorted[rounds / 2],
                sorted[0],
                sorted[rounds - 1]));
      }
      System.out.println(line.append(" |"));
    }
    engine.process.destroy();
    netty.process.destroy();
    gateway.process.destroy();
  }

  /**
   * The same streams through gateways that report nothing, to healthy, to stalled and to absent
   * collectors.
   */
  private static void reporting() throws Exception {
    int streams = Integer.getInteger("streams", 500);
    int rounds = Integer.getInteger("rounds", 5);
    int words = 150;
    ChildProcess engine = new ChildProcess("2g", "engine", "4000", "20");
    try (GraphiteListener good = new GraphiteListener(0, false, GraphiteListener.Fault.NONE);
        GraphiteListener pickle = new GraphiteListener(0, true, GraphiteListener.Fault.NONE);
        GraphiteListener stalled =
            new GraphiteListener(0, false, GraphiteListener.Fault.NEVER_READS);
        CollectdListener udp = new CollectdListener(0, Map.of(), 1);
        LoopbackPort unused = LoopbackPort.reserve()) {
      int nobody = unused.number();
      Map<String, String> kinds = new LinkedHashMap<>();
      kinds.put("off", "{\"tickMs\":10,\"intervalMs\":10}");
      kinds.put("healthy", destinations(good.port(), pickle.port(), udp.port()));
      kinds.put("stalled", destinations(stalled.port(), stalled.port(), nobody));
      kinds.put("absent", destinations(nobody, nobody, nobody));
      Map<String, ChildProcess> gateways = new LinkedHashMap<>();
      for (Map.Entry<String, String> kind : kinds.entrySet()) {
        gateways.put(
            kind.getKey(),
            new ChildProcess("1g", "gateway", settings(kind.getValue(), engine.port).toString()));
      }
      Map<String, List<double[]>> results = new LinkedHashMap<>();
      for (int round = -1; round < rounds; round++) { // the first warms up
        for (Map.Entry<String, ChildProcess> kind : gateways.entrySet()) {
          try (StreamLoad load = new StreamLoad(2)) {
            ChildProcess gateway = kind.getValue();
            List<String> sessions = load.sessions(gateway.port, streams);
            CountDownLatch done = new CountDownLatch(streams);
            Duration before = gateway.cpu();
            long from = System.nanoTime();
            for (int i = 0; i < streams; i++) {
              load.stream(
                  i,
                  gateway.port,
                  sessions.get(i),
                  StreamLoad.call(i, "#s" + i + "# stamp each word answer in " + words + " words"),
                  true,
                  done);
              if (i % 5 == 4) {
                Thread.sleep(2);
              }
            }
            done.await(120, TimeUnit.SECONDS);
            if (round >= 0) {
              results
                  .computeIfAbsent(kind.getKey(), k -> new ArrayList<>())
                  .add(
                      new double[] {
                        load.first.getValueAtPercentile(99),
                        load.transit.getValueAtPercentile(50),
                        load.transit.getValueAtPercentile(99),
                        load.transit.getValueAtPercentile(99.9),
                        load.events.get() / ((System.nanoTime() - from) / 1e9),
                        gateway.cpu().minus(before).toMillis() / 1000.0,
                        load.failures.get()
                      });
            }
          }
        }
      }
      System.out.println(
          "| reports | first p99 us | token p50 us | token p99 us | token p99.9 us |"
              + " events/s | CPU s | failures |\n"
              + "| --- | --- | --- | --- | --- | --- | --- | --- |");
      results.forEach(
          (kind, rows) -> {
            StringBuilder line = new StringBuilder("| " + kind);
            for (int c = 0; c < rows.get(0).length; c++) {
              int column = c;
              double[] sorted = rows.stream().mapToDouble(r -> r[column]).sorted().toArray();
              line.append(
                  String.format(
                      Locale.ROOT,
                      " | %.4g (%.4g to %.4g)",
                      sorted[sorted.length / 2],
                      sorted[0],
                      sorted[sorted.length - 1]));
            }
            System.out.println(line.append(" |"));
          });
      System.out.println(
          "plaintext values received "
              + good.received().values()
              + ", pickle "
              + pickle.received().values()
              + ", collectd "
              + udp.received().values());
    }
  }

  private static String destinations(int plain, int pickle, int udp) {
    return "{\"tickMs\":1000,\"intervalMs\":1000,\"destinations\":[{\"name\":\"a\",\"kind\":\"graphite\",\"address\":"
               + "\"127.0.0.1:"
        + plain
        + "\"},{\"name\":\"b\",\"kind\":\"graphite-pickle\",\"address\":\"127.0.0.1:"
        + pickle
        + "\"},{\"name\":\"c\",\"kind\":\"collectd\",\"address\":\"127.0.0.1:"
        + udp
        + "\"}]}";
  }

  /**
   * Events a CPU second of the relaying process: the gateway against a bare Netty relay of bytes.
   */
  private static void relay() throws Exception {
    int streams = 64;
    int each = 20_000;
    ChildProcess hose = new ChildProcess("1g", "firehose", "2");
    ChildProcess netty = new ChildProcess("1g", "relay-process", Integer.toString(hose.port), "2");
    ChildProcess gateway = new ChildProcess("1g", "gateway", settings(hose.port).toString());
    double[] perCpu = new double[2];
    for (int round = 0; round < 2; round++) {
      for (boolean through : new boolean[] {false, true}) {
        ChildProcess relay = through ? gateway : netty;
        try (StreamLoad load = new StreamLoad(2)) {
          List<String> sessions = through ? load.sessions(gateway.port, streams) : List.of();
          CountDownLatch done = new CountDownLatch(streams);
          Duration before = relay.cpu();
          long begun = System.nanoTime();
          for (int i = 0; i < streams; i++) {
            String prompt = "send " + each + " events";
            load.stream(
                i,
                relay.port,
                through ? sessions.get(i) : null,
                through ? StreamLoad.call(i, prompt) : StreamLoad.direct(prompt),
                false,
                done);
          }
          done.await(180, TimeUnit.SECONDS);
          double seconds = (System.nanoTime() - begun) / 1e9;
          double cpu = relay.cpu().minus(before).toMillis() / 1000.0;
          perCpu[through ? 1 : 0] = load.events.get() / cpu;
          if (round == 1) {
            System.out.printf(
                Locale.ROOT,
                "relay, %d streams, %s: %d events in %.1f s (%.0f a second), %d"
                    + " failures, %.1f s of CPU, %.0f events a CPU second%n",
                streams,
                through ? "gateway" : "netty",
                load.events.get(),
                seconds,
                load.events.get() / seconds,
                load.failures.get(),
                cpu,
                perCpu[through ? 1 : 0]);
          }
        }
      }
    }
    System.out.printf(
        Locale.ROOT,
        "gateway against bare relay, events a CPU second: %.2f%n",
        perCpu[1] / perCpu[0]);
    hose.process.destroy();
    netty.process.destroy();
    gateway.process.destroy();
  }

  /** Events a second, and a CPU second, by the gateway's I/O threads. */
  private static void threads() throws Exception {
    int rounds = Integer.getInteger("rounds", 5);
    int streams = 64;
    int each = 20_000;
    ChildProcess hose = new ChildProcess("1g", "firehose", "2");
    System.out.println(
        streams
            + " streams of "
            + each
            + " events as fast as they are taken; "
            + rounds
            + " rounds, median (spread)\n"
            + "| I/O threads | events a second | events a CPU second | bytes allocated"
            + " an event |\n"
            + "| --- | --- | --- | --- |");
    for (int threads : new int[] {1, 2, 4, 8}) {
      Path file = settings(hose.port);
      Files.writeString(
          file,
          Files.readString(file)
              .replace("{\"name\":\"gw\",", "{\"name\":\"gw\",\"ioThreads\":" + threads + ","));
      ChildProcess gateway = new ChildProcess("1g", "gateway", file.toString());
      double[][] rows = new double[3][rounds];
      for (int round = -1; round < rounds; round++) { // the first warms up
        try (StreamLoad load = new StreamLoad(3)) {
          List<String> sessions = load.sessions(gateway.port, streams);
          CountDownLatch done = new CountDownLatch(streams);
          long allocated = gateway.memory()[0];
          Duration before = gateway.cpu();
          long begun = System.nanoTime();
          for (int i = 0; i < streams; i++) {
            load.stream(
                i,
                gateway.port,
                sessions.get(i),
                StreamLoad.call(i, "send " + each + " events"),
                false,
                done);
          }
          done.await(180, TimeUnit.SECONDS);
          double seconds = (System.nanoTime() - begun) / 1e9;
          Duration cpu = gateway.cpu().minus(before);
          if (round >= 0) {
            rows[0][round] = load.events.get() / seconds;
            rows[1][round] = load.events.get() / (cpu.toNanos() / 1e9);
            rows[2][round] = (gateway.memory()[0] - allocated) / (double) load.events.get();
          }
        }
      }
      System.out.println("| " + threads + columns(rows) + " |");
      gateway.process.destroy();
    }
    hose.process.destroy();
  }

  static String columns(double[][] rows) {
    StringBuilder line = new StringBuilder();
    for (double[] column : rows) {
      double[] sorted = column.clone();
      java.util.Arrays.sort(sorted);
      line.append(
          String.format(
              Locale.ROOT,
              " | %.4g (%.4g to %.4g)",
              sorted[sorted.length / 2],
              sorted[0],
              sorted[sorted.length - 1]));
    }
    return line.toString();
  }

  /**
   * Paced streams on the one shard of a gateway: alone, while giants take much from the same engine
   * beside the gateway, and while the giants come over the same shard. The difference of the last
   * two is what the giants do to their neighbours.
   */
  private static void fair() throws Exception {
    int rounds = Integer.getInteger("rounds", 5);
    int streams = 200;
    int giants = 4;
    ChildProcess engine = new ChildProcess("2g", "engine", "8000", "20");
    Path file = settings(engine.port);
    Files.writeString(
        file,
        Files.readString(file).replace("{\"name\":\"gw\",", "{\"name\":\"gw\",\"ioThreads\":1,"));
    ChildProcess gateway = new ChildProcess("1g", "gateway", file.toString());
    System.out.println(
        streams
            + " streams of 200 tokens at 20 ms over one I/O thread, "
            + giants
            + " giants; "
            + rounds
            + " rounds, median (spread)\n"
            + "| giants | token p50 us | token p99 us | token p99.9 us | giants' events"
            + " a second |\n"
            + "| --- | --- | --- | --- | --- |");
    String huge = " answer in 100000 words of 8000 letters without pause";
    for (String where : new String[] {"none", "beside the gateway", "over the same shard"}) {
      double[][] rows = new double[4][rounds];
      for (int round = -1; round < rounds; round++) { // the first warms up
        try (StreamLoad load = new StreamLoad(2);
            StreamLoad giant = new StreamLoad(1)) {
          List<String> sessions = load.sessions(gateway.port, streams + giants);
          CountDownLatch done = new CountDownLatch(streams);
          final long begun = System.nanoTime();
          for (int i = 0; i < (where.equals("none") ? 0 : giants); i++) {
            boolean over = where.equals("over the same shard");
            String prompt = "#g" + i + "#" + huge;
            giant.stream(
                i,
                over ? gateway.port : engine.port,
                over ? sessions.get(streams + i) : null,
                over ? StreamLoad.call(i, prompt) : StreamLoad.direct(prompt),
                false,
                new CountDownLatch(1));
          }
          for (int i = 0; i < streams; i++) {
            load.stream(
                i,
                gateway.port,
                sessions.get(i),
                StreamLoad.call(i, "#s" + i + "# stamp each word answer in 200 words"),
                true,
                done);
          }
          done.await(120, TimeUnit.SECONDS);
          if (round >= 0) {
            rows[0][round] = load.transit.getValueAtPercentile(50);
            rows[1][round] = load.transit.getValueAtPercentile(99);
            rows[2][round] = load.transit.getValueAtPercentile(99.9);
            rows[3][round] = giant.events.get() / ((System.nanoTime() - begun) / 1e9);
          }
        }
      }
      System.out.println("| " + where + columns(rows) + " |");
    }
    gateway.process.destroy();
    engine.process.destroy();
  }

  /**
   * The gateway's CPU with nothing to do, with idle connections, and with streams whose clients
   * take nothing.
   */
  private static void quiet() throws Exception {
    final int idle = Integer.getInteger("idle", 5_000);
    int stalled = Integer.getInteger("stalled", 100);
    ChildProcess engine = new ChildProcess("4g", "engine", "40000", "1");
    ChildProcess gateway = new ChildProcess("1g", "gateway", settings(engine.port).toString());
    System.out.println(
        "| | CPU % of one processor, median (spread) of 10 times 1 s | heap MB after a"
            + " collection |\n"
            + "| --- | --- | --- |");
    TimeUnit.SECONDS.sleep(3);
    System.out.println("| nothing | " + cpuShare(gateway) + " | " + gateway.memory()[1] + " |");
    List<java.net.Socket> sockets = new ArrayList<>();
    for (int i = 0; i < idle; i++) {
      sockets.add(new java.net.Socket("127.0.0.1", gateway.port));
    }
    TimeUnit.SECONDS.sleep(2);
    System.out.println(
        "| "
            + idle
            + " idle connections | "
            + cpuShare(gateway)
            + " | "
            + gateway.memory()[1]
            + " |");
    for (java.net.Socket socket : sockets) {
      socket.close();
    }
    sockets.clear();
    try (StreamLoad load = new StreamLoad(1)) {
      List<String> sessions = load.sessions(gateway.port, stalled);
      for (int i = 0; i < stalled; i++) {
        byte[] body =
            StreamLoad.call(i, "#q" + i + "# answer in 100000 words of 8000 letters without pause");
        sockets.add(post(gateway.port, sessions.get(i), body));
      }
      TimeUnit.SECONDS.sleep(20);
      System.out.println(
          "| "
              + stalled
              + " stalled streams | "
              + cpuShare(gateway)
              + " | "
              + gateway.memory()[1]
              + " |");
    }
    for (java.net.Socket socket : sockets) {
      socket.close();
    }
    gateway.process.destroy();
    engine.process.destroy();
  }

  /**
   * Answers that wait for their clients' tools: their memory, and what they do to calls beside
   * them.
   */
  private static void waiting() throws Exception {
    int answers = Integer.getInteger("answers", 10_000);
    ChildProcess engine = new ChildProcess("4g", "engine", "40000", "1");
    ChildProcess gateway = new ChildProcess("512m", "gateway", settings(engine.port).toString());
    System.out.println(
        "| answers waiting | heap MB after a collection | CPU % of one processor | a call"
            + " of 20 tokens beside them, first token p50, p99 us |\n"
            + "| --- | --- | --- | --- |");
    List<java.net.Socket> sockets = new ArrayList<>();
    for (int most : new int[] {0, answers / 10, answers}) {
      try (StreamLoad load = new StreamLoad(2)) {
        List<String> sessions = new ArrayList<>();
        while (sessions.size()
            < Math.max(1, (most - sockets.size()) / 10)) { // some of many at once are refused
          load.sessions(gateway.port, 20).stream()
              .filter(java.util.Objects::nonNull)
              .forEach(sessions::add);
        }
        for (int i = 0; sockets.size() < most; i++) {
          sockets.add(
              post(
                  gateway.port,
                  sessions.get(i / 10 % sessions.size()),
                  StreamLoad.toolCall(
                      1_000 + i,
                      "#w" + sockets.size() + "# call the tool stock answer in 5 words")));
          if (i % 50 == 49) {
            TimeUnit.MILLISECONDS.sleep(10);
          }
        }
        TimeUnit.SECONDS.sleep(3);
        String cpu = cpuShare(gateway);
        long heap = gateway.memory()[1];
        List<String> others = load.sessions(gateway.port, 20);
        CountDownLatch done = new CountDownLatch(400);
        for (int i = 0; i < 400; i++) {
          load.stream(
              i,
              gateway.port,
              others.get(i % 20),
              StreamLoad.call(i, "#o" + most + "-" + i + "# stamp each word answer in 20 words"),
              true,
              done);
          TimeUnit.MILLISECONDS.sleep(5);
        }
        done.await(60, TimeUnit.SECONDS);
        System.out.println(
            "| "
                + most
                + " | "
                + heap
                + " | "
                + cpu
                + " | "
                + load.first.getValueAtPercentile(50)
                + ", "
                + load.first.getValueAtPercentile(99)
                + " ("
                + load.failures.get()
                + " failed) |");
      }
    }
    for (java.net.Socket socket : sockets) {
      socket.close();
    }
    gateway.process.destroy();
    engine.process.destroy();
  }

  /** Posts a call whose answer is left in the socket. */
  private static java.net.Socket post(int port, String session, byte[] body) throws IOException {
    java.net.Socket socket = new java.net.Socket();
    socket.setReceiveBufferSize(4_096);
    socket.connect(new java.net.InetSocketAddress("127.0.0.1", port));
    socket
        .getOutputStream()
        .write(
            ("POST /mcp HTTP/1.1\r\n"
                    + "host: localhost\r\n"
                    + "content-type: application/json\r\n"
                    + "accept: text/event-stream\r\n"
                    + "mcp-session-id: "
                    + session
                    + "\r\ncontent-length: "
                    + body.length
                    + "\r\n\r\n")
                .getBytes(java.nio.charset.StandardCharsets.US_ASCII));
    socket.getOutputStream().write(body);
    return socket;
  }

  private static String cpuShare(ChildProcess child) throws InterruptedException {
    double[][] shares = new double[1][10];
    for (int i = 0; i < shares[0].length; i++) {
      Duration before = child.cpu();
      TimeUnit.SECONDS.sleep(1);
      shares[0][i] = child.cpu().minus(before).toNanos() / 1e7;
    }
    return columns(shares).substring(3);
  }

  /** Streams held open at a time by a gateway with a heap of 512 MB. */
  private static void open() throws Exception {
    int streams = Integer.getInteger("open", 10_000);
    ChildProcess engine = new ChildProcess("4g", "engine", "40000", "1000");
    ChildProcess gateway = new ChildProcess("512m", "gateway", settings(engine.port).toString());
    try (StreamLoad load = new StreamLoad(3)) {
      List<String> sessions = load.sessions(gateway.port, streams);
      CountDownLatch done = new CountDownLatch(streams);
      for (int i = 0; i < streams && i < sessions.size(); i++) {
        load.stream(
            i,
            gateway.port,
            sessions.get(i),
            StreamLoad.call(i, "#o" + i + "# answer in 40 words"),
            false,
            done);
        if (i % 50 == 49) {
          Thread.sleep(5);
        }
      }
      Thread.sleep(15_000);
      gateway.process.getOutputStream().write('\n');
      gateway.process.getOutputStream().flush();
      System.out.println(
          "open streams, heap 512 MB: " + gateway.line("heap") + " MB (heap MB, sessions, calls)");
      done.await(90, TimeUnit.SECONDS);
      System.out.printf(
          Locale.ROOT,
          "open streams: %d asked, %d events, %d failures, %d not ended%n",
          streams,
          load.events.get(),
          load.failures.get(),
          done.getCount());
    }
    engine.process.destroy();
    gateway.process.destroy();
  }
}
