package lemondock.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import lemondock.gateway.settings.SettingsException;
import lemondock.scenario.FaultScenario;
import lemondock.scenario.ReportComparison;
import lemondock.scenario.ScenarioReport;
import lemondock.scenario.ScenarioResult;
import lemondock.scenario.ScenarioScript;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs fault scenarios, from a script or generated from a seed, and checks the five rules. */
@Command(
    name = "scenario",
    mixinStandardHelpOptions = true,
    description =
        "Runs a fault scenario on loopback sockets; exits with 1 if one of the five rules"
            + " was violated.")
final class ScenarioCommand implements Callable<Integer> {
  @Option(
      names = "--script",
      paramLabel = "FILE",
      description = "The scenario (JSON); generated from the seed if not given.")
  private Path script;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the generated traffic and, without a script, of the faults.")
  private long seed;

  @Option(
      names = "--seeds",
      defaultValue = "1",
      description = "Number of scenarios to run, with consecutive seeds from --seed on.")
  private int seeds;

  @Option(names = "--seconds", defaultValue = "12", description = "Length of a generated scenario.")
  private double seconds;

  @Option(
      names = "--out",
      paramLabel = "DIR",
      defaultValue = "bad-day",
      description = "Directory to write verdict.json and verdict.html to.")
  private Path out;

  @Option(
      names = "--reports",
      description =
          "Makes the gateways report to emulated Graphite and collectd listeners in all"
              + " formats, and compares the received values with the gateways' final"
              + " metrics; exits with 1 if they differ.")
  private boolean reports;

  @Option(names = "--log", defaultValue = "error", description = "error, warn, info or debug.")
  private String level;

  private boolean reportsDiffered;

  @Override
  public Integer call() throws Exception {
    Logging.configure("text", level);
    List<ScenarioResult> results = new ArrayList<>();
    for (long current = seed; current < seed + seeds; current++) {
      ScenarioScript scenario = scenario(current);
      ScenarioResult result =
          reports ? playWithReports(scenario) : new FaultScenario(scenario).play();
      results.add(result);
      System.out.println(ScenarioReport.line(result));
    }
    writeVerdict(results);
    boolean allKept = results.stream().allMatch(result -> result.audit().allRulesKept());
    return allKept && !reportsDiffered ? 0 : 1;
  }

  private ScenarioScript scenario(long scenarioSeed) throws SettingsException {
    return script == null
        ? ScenarioScript.draw(scenarioSeed, seconds)
        : ScenarioScript.read(script).withSeed(scenarioSeed);
  }

  private ScenarioResult playWithReports(ScenarioScript scenario)
      throws InterruptedException, IOException {
    try (ReportComparison comparison = new ReportComparison()) {
      ScenarioResult result = new FaultScenario(scenario).compareReports(comparison).play();
      boolean differs = !comparison.differences().isEmpty();
      System.out.println(
          "reports: "
              + comparison.compared()
              + " values compared, "
              + (differs ? "DIFFERENT: " + comparison.differences() : "all agree"));
      reportsDiffered |= differs;
      return result;
    }
  }

  private void writeVerdict(List<ScenarioResult> results) throws IOException {
    Path json = out.resolve("verdict.json");
    Path html = out.resolve("verdict.html");
    Files.createDirectories(out);
    Files.writeString(json, ScenarioReport.json(results));
    Files.writeString(html, ScenarioReport.page(results));
    System.out.println("verdict: " + json + ", " + html);
  }
}
