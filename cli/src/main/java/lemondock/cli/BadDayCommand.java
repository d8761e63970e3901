package lemondock.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.scenario.DayScript;
import lemondock.scenario.FaultScenario;
import lemondock.scenario.ReportCheck;
import lemondock.scenario.Verdict;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays scripted days and judges them. */
@Command(
    name = "bad-day",
    mixinStandardHelpOptions = true,
    description =
        "Plays a scripted day on loopback sockets; exits with 1 if one of the five rules"
            + " was broken.")
final class BadDayCommand implements Callable<Integer> {
  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "The day (JSON); without it one is drawn from the seed.")
  private Path script;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Draws the traffic and, without a script, the troubles.")
  private long seed;

  @Option(
      names = "--seeds",
      defaultValue = "1",
      description = "Plays so many days, from the seed on.")
  private int seeds;

  @Option(names = "--seconds", defaultValue = "12", description = "Length of a drawn day.")
  private double seconds;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      defaultValue = "bad-day",
      description = "Where the verdict goes.")
  private Path out;

  @Option(
      names = "--reports",
      description =
          "Has the gateways report to small listeners for Graphite and collectd, in all"
              + " forms, and compares what arrives with the gateways' final tallies;"
              + " exits with 1 if it differs.")
  private boolean reports;

  @Option(names = "--log", defaultValue = "error", description = "error, warn, info or debug.")
  private String level;

  @Override
  public Integer call() throws Exception {
    Logs.set("text", level);
    List<FaultScenario.Result> results = new ArrayList<>();
    for (long s = seed; s < seed + seeds; s++) {
      DayScript day =
          script == null ? DayScript.draw(s, seconds) : DayScript.read(script).seeded(s);
      results.add(reports ? reported(day) : new FaultScenario(day).play());
      System.out.println(Verdict.line(results.get(results.size() - 1)));
    }
    Files.createDirectories(out);
    Files.writeString(out.resolve("verdict.json"), Verdict.json(results));
    Files.writeString(out.resolve("verdict.html"), Verdict.page(results));
    System.out.println(
        "verdict: " + out.resolve("verdict.json") + ", " + out.resolve("verdict.html"));
    return results.stream().allMatch(r -> r.finding().kept()) && !differed ? 0 : 1;
  }

  private boolean differed;

  private FaultScenario.Result reported(DayScript day) throws InterruptedException, IOException {
    try (ReportCheck check = new ReportCheck()) {
      FaultScenario.Result result = new FaultScenario(day).reporting(check).play();
      System.out.println(
          "reports: "
              + check.compared()
              + " values compared, "
              + (check.differences().isEmpty()
                  ? "all agree"
                  : "DIFFERENT: " + check.differences()));
      differed |= !check.differences().isEmpty();
      return result;
    }
  }
}
