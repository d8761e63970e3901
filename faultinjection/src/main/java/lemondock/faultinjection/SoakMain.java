package lemondock.faultinjection;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.LongFunction;

/**
 * Command line of the soak: {@code bin/soak FIRST COUNT [PARALLEL [signals | streams]]}. Exits with
 * code 1 if a rule was broken or a run could not be executed, with 2 on wrong usage.
 */
public final class SoakMain {
  /**
   * Argument that makes each run end with a series of signals. Without it, a run ends with a single
   * SIGTERM or with no signal, as its plan says.
   */
  private static final String SIGNALS_ARGUMENT = "signals";

  /**
   * Argument that adds to the signals paces of the answers, shorter deadlines, servers that pause
   * during the termination, and later kills.
   */
  private static final String STREAMS_ARGUMENT = "streams";

  private static final Map<String, LongFunction<FaultPlan>> PLANS =
      Map.of(
          "",
          FaultPlan::draw,
          SIGNALS_ARGUMENT,
          FaultPlan::drawWithSignals,
          STREAMS_ARGUMENT,
          FaultPlan::drawWithStreams);

  private static final int MAX_PRINTED_BREACHES_PER_RUN = 4;

  private final Map<Rule, Integer> breachesByRule = new TreeMap<>();
  private int failedRuns;

  private SoakMain() {}

  /**
   * Runs the seeds FIRST to FIRST + COUNT - 1, prints a line for each, then a summary line. Logs
   * and reports go to the folder that the system property {@code lemondock.soak.out} names.
   */
  public static void main(String[] args) throws Exception {
    String kind = args.length == 4 ? args[3] : "";
    if (args.length < 2 || args.length > 4 || !PLANS.containsKey(kind)) {
      System.err.println(
          "usage: soak FIRST COUNT [PARALLEL [" + SIGNALS_ARGUMENT + "|" + STREAMS_ARGUMENT + "]]");
      System.exit(2);
    }
    long firstSeed = Long.parseLong(args[0]);
    long count = Long.parseLong(args[1]);
    int parallelRuns = args.length > 2 ? Integer.parseInt(args[2]) : 1;
    SoakMain soak = new SoakMain();
    soak.printResults(startRuns(firstSeed, count, parallelRuns, PLANS.get(kind)));
    System.out.println(
        count + " seeds, " + soak.failedRuns + " with a broken rule " + soak.breachesByRule);
    System.exit(soak.failedRuns == 0 ? 0 : 1);
  }

  private static Map<Long, Future<SoakResult>> startRuns(
      long firstSeed, long count, int parallelRuns, LongFunction<FaultPlan> plans)
      throws IOException {
    Path project = Path.of(System.getProperty("lemondock.project", ".")).toAbsolutePath();
    Path defaultFolder = project.resolve("target/soak");
    Path folder = Path.of(System.getProperty("lemondock.soak.out", defaultFolder.toString()));
    Files.createDirectories(folder);
    Optional<Path> library = FaultShim.compile(project, folder);
    if (library.isEmpty()) {
      System.out.println("no C compiler: system calls and clocks are left alone");
    }
    ExecutorService executor = Executors.newFixedThreadPool(parallelRuns);
    Map<Long, Future<SoakResult>> runs = new LinkedHashMap<>();
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      FaultPlan plan = plans.apply(seed);
      SoakRun run = new SoakRun(project, folder.resolve("seed-" + seed), library, seed, plan);
      runs.put(seed, executor.submit(run::execute));
    }
    executor.shutdown();
    return runs;
  }

  /**
   * Prints the results in the order of their seeds, each as soon as all results before it are
   * printed.
   */
  private void printResults(Map<Long, Future<SoakResult>> runs) throws InterruptedException {
    for (Future<SoakResult> run : runs.values()) {
      try {
        printResult(run.get());
      } catch (ExecutionException e) {
        System.out.println("not played: " + e.getCause());
        failedRuns++;
      }
    }
  }

  private void printResult(SoakResult result) {
    failedRuns += result.hasNoBreaches() ? 0 : 1;
    result.breaches().forEach(breach -> breachesByRule.merge(breach.rule(), 1, Integer::sum));
    System.out.println(result);
    result.breaches().stream()
        .limit(MAX_PRINTED_BREACHES_PER_RUN)
        .forEach(
            breach -> System.out.println("    " + breach.rule() + ": " + breach.description()));
  }
}
