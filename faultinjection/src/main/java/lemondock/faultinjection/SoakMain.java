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

/**
 * The soak as a program: {@code bin/soak FIRST COUNT [PARALLEL [signals]]}. Exits with 1 if a rule
 * was broken or a run could not be played, with 2 on wrong use.
 */
public final class SoakMain {
  /** Has each run end with a series of signals in place of its plan's one SIGTERM, or none. */
  private static final String SIGNALS = "signals";

  private static final int PRINTED_BREACHES_PER_RUN = 4;

  private final Map<Rule, Integer> breachesByRule = new TreeMap<>();
  private int brokenRuns;

  private SoakMain() {}

  /**
   * Plays seeds FIRST to FIRST + COUNT - 1 and prints a line for each, then a line that sums them
   * up. Logs and reports go to the folder of the system property {@code lemondock.soak.out}.
   */
  public static void main(String[] args) throws Exception {
    if (args.length < 2 || args.length > 4 || args.length == 4 && !args[3].equals(SIGNALS)) {
      System.err.println("usage: soak FIRST COUNT [PARALLEL [" + SIGNALS + "]]");
      System.exit(2);
    }
    boolean signals = args.length == 4;
    long firstSeed = Long.parseLong(args[0]);
    long count = Long.parseLong(args[1]);
    int parallel = args.length > 2 ? Integer.parseInt(args[2]) : 1;
    SoakMain soak = new SoakMain();
    soak.printResults(startRuns(firstSeed, count, parallel, signals));
    System.out.println(
        count + " seeds, " + soak.brokenRuns + " with a broken rule " + soak.breachesByRule);
    System.exit(soak.brokenRuns == 0 ? 0 : 1);
  }

  private static Map<Long, Future<SoakResult>> startRuns(
      long firstSeed, long count, int parallel, boolean signals) throws IOException {
    Path project = Path.of(System.getProperty("lemondock.project", ".")).toAbsolutePath();
    Path defaultFolder = project.resolve("target/soak");
    Path folder = Path.of(System.getProperty("lemondock.soak.out", defaultFolder.toString()));
    Files.createDirectories(folder);
    Optional<Path> library = FaultShim.compile(project, folder);
    if (library.isEmpty()) {
      System.out.println("no C compiler: system calls and clocks are left alone");
    }
    ExecutorService executor = Executors.newFixedThreadPool(parallel);
    Map<Long, Future<SoakResult>> runs = new LinkedHashMap<>();
    for (long seed = firstSeed; seed < firstSeed + count; seed++) {
      FaultPlan plan = signals ? FaultPlan.drawWithSignals(seed) : FaultPlan.draw(seed);
      SoakRun run = new SoakRun(project, folder.resolve("seed-" + seed), library, seed, plan);
      runs.put(seed, executor.submit(run::play));
    }
    executor.shutdown();
    return runs;
  }

  /** Prints each result as soon as it and those of all seeds before it are there. */
  private void printResults(Map<Long, Future<SoakResult>> runs) throws InterruptedException {
    for (Future<SoakResult> run : runs.values()) {
      try {
        printResult(run.get());
      } catch (ExecutionException e) {
        System.out.println("not played: " + e.getCause());
        brokenRuns++;
      }
    }
  }

  private void printResult(SoakResult result) {
    brokenRuns += result.isKept() ? 0 : 1;
    result.breaches().forEach(breach -> breachesByRule.merge(breach.rule(), 1, Integer::sum));
    System.out.println(result);
    result.breaches().stream()
        .limit(PRINTED_BREACHES_PER_RUN)
        .forEach(
            breach -> System.out.println("    " + breach.rule() + ": " + breach.description()));
  }
}
