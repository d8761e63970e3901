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
 * Shows the state of gateways as text, in the layout of {@link StatusPage}; exits with 1 while
 * service is degraded and with 2 if no gateway answers.
 */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description =
        "Shows the current state of one or more gateways; exits with 1 while service is"
            + " degraded, with 2 if no gateway answers.")
final class StatusCommand implements Callable<Integer> {
  private static final int HEALTHY = 0;
  private static final int DEGRADED = 1;
  private static final int NO_ANSWER = 2;
  private static final String CLEAR_SCREEN = "\033[H\033[2J";

  @Parameters(
      paramLabel = "HOST:PORT",
      arity = "1..*",
      description = "reporting.listen of the gateways.")
  private List<String> gateways;

  @Option(
      names = "--watch",
      paramLabel = "<watch>",
      description = "Repeats at this interval in seconds.",
      arity = "0..1",
      fallbackValue = "2",
      defaultValue = "0")
  private double watchSeconds;

  @Option(
      names = "--times",
      description = "With --watch: how many times to show the state; 0: no limit.",
      defaultValue = "0")
  private int times;

  @Override
  public Integer call() throws InterruptedException {
    int exitCode = show();
    for (int i = 1; watchSeconds > 0 && (times == 0 || i < times); i++) {
      TimeUnit.MILLISECONDS.sleep(Math.round(watchSeconds * 1_000));
      System.out.print(System.console() != null ? CLEAR_SCREEN : "\n");
      exitCode = show();
    }
    return exitCode;
  }

  private int show() throws InterruptedException {
    List<JsonNode> statuses = new ArrayList<>();
    List<String> unreachable = new ArrayList<>();
    for (String gateway : gateways) {
      try {
        statuses.add(StatusClient.get(gateway, "/status"));
      } catch (IOException e) {
        unreachable.add(e.getMessage());
      }
    }
    System.out.print(StatusPage.render(statuses, unreachable));
    if (statuses.isEmpty()) {
      return NO_ANSWER;
    }
    boolean degraded = statuses.stream().anyMatch(status -> !status.path("falls").isEmpty());
    return degraded ? DEGRADED : HEALTHY;
  }
}
