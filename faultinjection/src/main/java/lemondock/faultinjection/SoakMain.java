package lemondock.faultinjection;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.LongStream;

/** The soak by hand: {@code bin/soak FIRST COUNT [PARALLEL]}. Exits with 1 if a rule was broken. */
public final class SoakMain {
  private SoakMain() {}

  /**
   * Plays seeds FIRST to FIRST + COUNT - 1 and prints a line for each, then a line that sums them
   * up.
   */
  public static void main(String[] args) throws Exception {
    if (args.length < 2 || args.length > 3) {
      System.err.println("usage: soak FIRST COUNT [PARALLEL]");
      System.exit(2);
    }
    long first = Long.parseLong(args[0]);
    long count = Long.parseLong(args[1]);
    int parallel = args.length > 2 ? Integer.parseInt(args[2]) : 1;
    Path project = Path.of(System.getProperty("lemondock.project", ".")).toAbsolutePath();
    Path out =
        Files.createDirectories(
            Path.of(
                System.getProperty(
                    "lemondock.soak.out", project.resolve("target/soak").toString())));
    Optional<Path> library = FaultShim.compile(project, out);
    if (library.isEmpty()) {
      System.out.println("no C compiler: system calls and clocks are left alone");
    }
    ExecutorService players = Executors.newFixedThreadPool(parallel);
    Map<Long, Future<SoakRun.Result>> runs = new TreeMap<>();
    LongStream.range(first, first + count)
        .forEach(
            seed ->
                runs.put(
                    seed,
                    players.submit(
                        () ->
                            new SoakRun(project, out.resolve("seed-" + seed), library, seed)
                                .play())));
    players.shutdown();
    int broken = 0;
    Map<SoakAuditor.Rule, Integer> rules = new TreeMap<>();
    for (Future<SoakRun.Result> run : runs.values()) {
      SoakRun.Result result;
      try {
        result = run.get();
      } catch (ExecutionException e) {
        System.out.println("not played: " + e.getCause());
        broken++;
        continue;
      }
      broken += result.breaches().isEmpty() ? 0 : 1;
      result.breaches().forEach(breach -> rules.merge(breach.rule(), 1, Integer::sum));
      System.out.println(result);
      result.breaches().stream()
          .limit(4)
          .forEach(breach -> System.out.println("    " + breach.rule() + ": " + breach.what()));
    }
    System.out.println(count + " seeds, " + broken + " with a broken rule " + rules);
    System.exit(broken == 0 ? 0 : 1);
  }
}
