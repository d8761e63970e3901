package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
    System.out.print(text(answers, silent));
    boolean fallen = answers.stream().anyMatch(a -> !a.path("falls").isEmpty());
    return answers.isEmpty() ? 2 : fallen ? 1 : 0;
  }

  /** The page; worth is summed over the gateways of a zone, since each sees only its part. */
  static String text(List<JsonNode> answers, List<String> silent) {
    StringBuilder text = new StringBuilder();
    silent.forEach(s -> text.append("NO ANSWER  ").append(s).append('\n'));
    boolean fallen = false;
    for (JsonNode a : answers) {
      for (JsonNode fall : a.path("falls")) {
        fallen = true;
        text.append(
            String.format(
                Locale.ROOT,
                "FALLEN     %s in %s: %.0f %% of %d requests of the last seconds"
                    + " lost, says %s%n",
                fall.path("class").asText(),
                fall.path("zone").asText(),
                100 * fall.path("loss").asDouble(),
                fall.path("requests").asLong(),
                a.path("instance").asText()));
      }
    }
    if (!fallen && !answers.isEmpty()) {
      text.append("no fall of service is seen\n");
    }
    Map<String, double[]> service = new LinkedHashMap<>();
    for (JsonNode a : answers) {
      for (JsonNode c : a.path("classes")) {
        double[] sum =
            service.computeIfAbsent(
                a.path("zone").asText() + "\t" + c.path("class").asText(), k -> new double[4]);
        sum[0] += c.path("asked10s").asDouble();
        sum[1] += c.path("inTime10s").asDouble();
        sum[2] += c.path("asked60s").asDouble();
        sum[3] += c.path("inTime60s").asDouble();
      }
    }
    text.append(
        String.format(
            "%n%-16s %-20s %22s %22s%n", "region", "class", "in time of asked, 10 s", "60 s"));
    service.forEach(
        (key, s) ->
            text.append(
                String.format(
                    Locale.ROOT,
                    "%-16s %-20s %22s %22s%n",
                    key.split("\t")[0],
                    key.split("\t")[1],
                    share(s[0], s[1]),
                    share(s[2], s[3]))));
    text.append(
        String.format(
            "%n%-24s %6s %8s %8s %7s %9s%n",
            "gateway", "calls", "sessions", "parked", "servers", "lag p99"));
    for (JsonNode a : answers) {
      JsonNode hand = a.at("/gateway/0");
      text.append(
          String.format(
              Locale.ROOT,
              "%-24s %6d %8d %8d %7d %6.1f ms%n",
              a.path("instance").asText(),
              hand.path("calls").asLong(),
              hand.path("sessions").asLong(),
              a.at("/module/0/parked").asLong(),
              hand.path("servers").asLong(),
              a.at("/loop_lag/0/p99").asDouble()));
    }
    Map<String, long[]> servers = new LinkedHashMap<>();
    for (JsonNode a : answers) {
      for (JsonNode s : a.path("servers")) {
        long[] most =
            servers.computeIfAbsent(
                s.path("zone").asText() + "\t" + s.path("role").asText(), k -> new long[4]);
        String[] fields = {"ready", "away", "cold", "avoided"};
        for (int i = 0; i < fields.length; i++) {
          most[i] = Math.max(most[i], s.path(fields[i]).asLong());
        }
      }
    }
    text.append(
        String.format(
            "%n%-16s %-10s %6s %6s %6s %8s   (most that any gateway sees)%n",
            "servers in", "role", "ready", "away", "cold", "avoided"));
    servers.forEach(
        (key, n) ->
            text.append(
                String.format(
                    "%-16s %-10s %6d %6d %6d %8d%n",
                    key.split("\t")[0], key.split("\t")[1], n[0], n[1], n[2], n[3])));
    for (JsonNode a : answers) {
      for (JsonNode r : a.path("report")) {
        if (r.path("dropped").asLong() > 0 || r.path("waiting").asLong() > 1) {
          text.append(
              String.format(
                  "%nreports of %s to %s: %d snapshots wait, %d dropped%n",
                  a.path("instance").asText(),
                  r.path("destination").asText(),
                  r.path("waiting").asLong(),
                  r.path("dropped").asLong()));
        }
      }
    }
    return text.toString();
  }

  private static String share(double asked, double inTime) {
    return asked == 0
        ? "-"
        : String.format(Locale.ROOT, "%.1f of %.1f (%.0f %%)", inTime, asked, 100 * inTime / asked);
  }
}
