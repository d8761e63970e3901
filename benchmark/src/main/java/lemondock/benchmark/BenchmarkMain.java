package lemondock.benchmark;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.slf4j.LoggerFactory;

/**
 * The program {@code bin/benchmark}: runs a benchmark by its name, or one of the child processes
 * that benchmarks start from this program. Parameters are system properties, listed in the comment
 * of each benchmark.
 */
public final class BenchmarkMain {
  private static final String DEFAULT_BENCHMARK = "all";
  private static final String USAGE =
      "usage: benchmark"
          + " [all|latency|relay|open|overload|recovery|threads|fair"
          + "|quiet|waiting|ledger|affinity|toolcall"
          + "|decisions|recording|reports|reporting|detector"
          + " FILE...]";

  /** Creates a benchmark, by its name, from the arguments that follow the name. */
  private static final Map<String, Function<List<String>, Benchmark>> BENCHMARKS =
      Map.ofEntries(
          Map.entry("all", arguments -> BenchmarkMain::runAll),
          Map.entry("latency", arguments -> new LatencyBenchmark()),
          Map.entry("relay", arguments -> new RelayBenchmark()),
          Map.entry("open", arguments -> new OpenStreamsBenchmark()),
          Map.entry("overload", arguments -> new OverloadBenchmark()),
          Map.entry("recovery", arguments -> new OverloadRecoveryBenchmark()),
          Map.entry("threads", arguments -> new IoThreadsBenchmark()),
          Map.entry("fair", arguments -> new FairnessBenchmark()),
          Map.entry("quiet", arguments -> new IdleCostBenchmark()),
          Map.entry("waiting", arguments -> new WaitingAnswersBenchmark()),
          Map.entry("ledger", arguments -> new IdempotencyLogBenchmark()),
          Map.entry("affinity", arguments -> new AffinityBenchmark()),
          Map.entry("toolcall", arguments -> new ToolCallBenchmark()),
          Map.entry("decisions", arguments -> new DecisionBenchmark()),
          Map.entry("recording", arguments -> MetricRecordingBenchmark::runAll),
          Map.entry("reports", arguments -> new ReportBenchmark()),
          Map.entry("reporting", arguments -> new ReportingLatencyBenchmark()),
          Map.entry("detector", BenchmarkMain::detectorBenchmark),
          Map.entry("detector-days", BenchmarkMain::scenarioRecorder));

  /** The programs of the child processes that benchmarks start; see {@link ChildProcess}. */
  private static final Map<String, ChildProgram> CHILD_PROGRAMS =
      Map.of(
          ChildProcess.ENGINE, new EngineProgram(),
          ChildProcess.GATEWAY, new GatewayProgram(),
          ChildProcess.RELAY, new RelayProgram(),
          ChildProcess.FIREHOSE, new FirehoseProgram());

  private BenchmarkMain() {}

  /**
   * Runs the benchmark or child program that the first argument names, by default {@value
   * #DEFAULT_BENCHMARK}; prints the usage if the name is unknown.
   */
  public static void main(String[] args) throws Exception {
    ((Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME)).setLevel(Level.ERROR);
    String name = args.length == 0 ? DEFAULT_BENCHMARK : args[0];
    List<String> arguments = Arrays.stream(args).skip(1).toList();
    try {
      run(name, arguments);
    } finally {
      ChildProcess.closeAll();
    }
  }

  private static void run(String name, List<String> arguments) throws Exception {
    if (CHILD_PROGRAMS.containsKey(name)) {
      CHILD_PROGRAMS.get(name).run(arguments);
    } else if (BENCHMARKS.containsKey(name)) {
      BENCHMARKS.get(name).apply(arguments).run();
    } else {
      System.err.println(USAGE);
    }
  }

  private static void runAll() throws Exception {
    new DecisionBenchmark().run();
    new LatencyBenchmark().run();
    new RelayBenchmark().run();
    new OpenStreamsBenchmark().run();
  }

  /** Creates the benchmark for the command line {@code detector FILE...}. */
  private static Benchmark detectorBenchmark(List<String> arguments) {
    return new DegradationDetectorBenchmark(arguments.stream().map(Path::of).toList());
  }

  /** Creates the recorder for the command line {@code detector-days FROM TO FILE}. */
  private static Benchmark scenarioRecorder(List<String> arguments) {
    return new DetectorScenarioRecorder(
        Long.parseLong(arguments.get(0)),
        Long.parseLong(arguments.get(1)),
        Path.of(arguments.get(2)));
  }
}
