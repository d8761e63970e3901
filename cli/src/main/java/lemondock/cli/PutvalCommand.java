package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.collectd.CollectdIdentifiers;
import lemondock.exporter.collectd.PutvalEncoder;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.Series;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * For collectd's exec plugin: asks a gateway every interval and prints its values as PUTVAL lines.
 */
@Command(
    name = "putval",
    mixinStandardHelpOptions = true,
    description = "Prints a gateway's values as PUTVAL lines, for collectd's exec plugin.")
final class PutvalCommand implements Callable<Integer> {
  @Parameters(paramLabel = "HOST:PORT", description = "reporting.listen of the gateway.")
  private String gateway;

  @Option(
      names = "--interval",
      description = "Seconds; the exec plugin's COLLECTD_INTERVAL if not given.",
      defaultValue = "${env:COLLECTD_INTERVAL:-10}")
  private double interval;

  @Option(
      names = "--host",
      description = "The exec plugin's COLLECTD_HOSTNAME if not given.",
      defaultValue = "${env:COLLECTD_HOSTNAME:-localhost}")
  private String host;

  @Option(names = "--times", description = "Ends after so many; 0: never.", defaultValue = "0")
  private int times;

  @Override
  public Integer call() throws InterruptedException {
    long millis = Math.round(interval * 1_000);
    for (int i = 0; times == 0 || i < times; i++) {
      if (i > 0) {
        TimeUnit.MILLISECONDS.sleep(millis);
      }
      try {
        print(StatusClient.get(gateway, "/tally"), millis);
      } catch (IOException e) {
        System.err.println(
            "lemondock: " + e.getMessage()); // collectd logs it; the next time may work
      }
      if (System.out.checkError()) {
        return 0; // collectd has closed the pipe
      }
    }
    return 0;
  }

  private void print(JsonNode answer, long millis) {
    List<Series> series = new ArrayList<>();
    List<Long> values = new ArrayList<>();
    Map<String, MetricFamily> families = new HashMap<>();
    MetricFamilies.ALL.forEach(f -> families.put(f.name(), f));
    answer
        .get("tally")
        .properties()
        .forEach(
            e -> {
              MetricFamily family = families.get(e.getKey());
              for (JsonNode row : family == null ? List.<JsonNode>of() : e.getValue()) {
                series.add(
                    new Series(
                        series.size(),
                        family,
                        family.labelNames().stream().map(d -> row.path(d).asText()).toList(),
                        values.size()));
                for (MetricField field : family.fields()) {
                  values.add(
                      row.has(field.name())
                          ? row.get(field.name())
                              .decimalValue()
                              .movePointRight(field.decimalPlaces())
                              .longValue()
                          : MetricsSnapshot.NO_VALUE);
                }
              }
            });
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    new PutvalEncoder(new CollectdIdentifiers(host, answer.path("instance").asText()), millis)
        .encode(
            new BufferedSnapshot(
                0,
                answer.path("stampMs").asLong(),
                series,
                values.stream().mapToLong(v -> v).toArray()),
            0,
            Integer.MAX_VALUE,
            text);
    System.out.writeBytes(text.toByteArray());
    System.out.flush();
  }
}
