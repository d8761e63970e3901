package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Shows a person what gateways see: falls first, then service by region and class, then servers and
 * reports.
 */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description =
        "Shows what one or several gateways see now; exits with 1 while service has fallen,"
            + " 2 if none answers.")
final class StatusCommand implements Callable<Integer> {
  @Parameters(
      paramLabel = "HOST:PORT",
      arity = "1..*",
      description = "reporting.listen of the gateways.")
  private List<String> gateways;

  @Option(
      names = "--watch",
      description = "Shows it again every so many seconds.",
      arity = "0..1",
      fallbackValue = "2",
      defaultValue = "0")
  private double watch;

  @Option(names = "--times", description = "With --watch: ends after so many.", defaultValue = "0")
  private int times;

  @Override
  public Integer call() throws InterruptedException {
    int code = show();
    for (int i = 1; watch > 0 && (times == 0 || i < times); i++) {
      TimeUnit.MILLISECONDS.sleep(Math.round(watch * 1_000));
      System.out.print(System.console() != null ? "\033[H\033[2J" : "\n");
      code = show();
    }
    return code;
  }

  private int show() throws InterruptedException {
    List<JsonNode> answers = new ArrayList<>();
    List<String> silent = new ArrayList<>();
    for (String gateway : gateways) {
      try {
        answers.add(StatusClient.get(gateway, "/status"));
      } catch (IOException e) {
        silent.add(e.getMessage());
      }
    }
    System.out.print(StatusPage.render(answers, silent));
    boolean fallen = answers.stream().anyMatch(a -> !a.path("falls").isEmpty());
    return answers.isEmpty() ? 2 : fallen ? 1 : 0;
  }
}
