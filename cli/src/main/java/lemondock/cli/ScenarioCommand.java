package lemondock.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.scenario.FaultScenario;
import lemondock.scenario.ReportComparison;
import lemondock.scenario.ScenarioReport;
import lemondock.scenario.ScenarioResult;
import lemondock.scenario.ScenarioScript;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Plays fault scenarios, from a script or drawn from a seed, and checks the five rules. */
@Command(
    name = "scenario",
    mixinStandardHelpOptions = true,
    description =
        "Plays a fault scenario on loopback sockets; exits with 1 if one of the five rules"
            + " was broken.")
final class ScenarioCommand implements Callable<Integer> {
  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "The scenario (JSON); without it one is drawn from the seed.")
  private Path script;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Draws the traffic and, without a script, the faults.")
  private long seed;

  @Option(
      names = "--seeds",
      defaultValue = "1",
      description = "Number of scenarios to play, from the seed on.")
  private int seeds;

  @Option(names = "--seconds", defaultValue = "12", description = "Length of a drawn scenario.")
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

  private boolean reportsDiffered;

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", level);
    List<ScenarioResult> results = new ArrayList<>();
    for (long current = seed; current < seed + seeds; current++) {
      ScenarioScript day =
          script == null
              ? ScenarioScript.draw(current, seconds)
              : ScenarioScript.read(script).withSeed(current);
      results.add(reports ? playWithReports(day) : new FaultScenario(day).play());
      System.out.println(ScenarioReport.line(results.get(results.size() - 1)));
    }
    Files.createDirectories(out);
    Files.writeString(out.resolve("verdict.json"), ScenarioReport.json(results));
    Files.writeString(out.resolve("verdict.html"), ScenarioReport.page(results));
    System.out.println(
        "verdict: " + out.resolve("verdict.json") + ", " + out.resolve("verdict.html"));
    return results.stream().allMatch(result -> result.audit().allRulesKept()) && !reportsDiffered
        ? 0
        : 1;
  }

  private ScenarioResult playWithReports(ScenarioScript day)
      throws InterruptedException, IOException {
    try (ReportComparison check = new ReportComparison()) {
      ScenarioResult result = new FaultScenario(day).reporting(check).play();
      System.out.println(
          "reports: "
              + check.compared()
              + " values compared, "
              + (check.differences().isEmpty()
                  ? "all agree"
                  : "DIFFERENT: " + check.differences()));
      reportsDiffered |= !check.differences().isEmpty();
      return result;
    }
  }
}
