package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import lemondock.exporter.BufferedSnapshot;
import lemondock.exporter.collectd.CollectdIdentifiers;
import lemondock.exporter.collectd.PutvalEncoder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/**
 * Polls a gateway at a fixed interval and prints its metrics as PUTVAL lines for collectd's exec
 * plugin. Ends when collectd closes the pipe.
 */
@Command(
    name = "putval",
    mixinStandardHelpOptions = true,
    description = "Prints a gateway's metrics as PUTVAL lines, for collectd's exec plugin.")
final class PutvalCommand implements Callable<Integer> {
  @Parameters(paramLabel = "HOST:PORT", description = "reporting.listen of the gateway.")
  private String gateway;

  @Option(
      names = "--interval",
      description = "Seconds between polls; COLLECTD_INTERVAL of the exec plugin if not given.",
      defaultValue = "${env:COLLECTD_INTERVAL:-10}")
  private double intervalSeconds;

  @Option(
      names = "--host",
      description =
          "Host name in the PUTVAL lines; COLLECTD_HOSTNAME of the exec plugin if not given.",
      defaultValue = "${env:COLLECTD_HOSTNAME:-localhost}")
  private String host;

  @Option(names = "--times", description = "Number of polls; 0: no limit.", defaultValue = "0")
  private int times;

  @Override
  public Integer call() throws InterruptedException {
    long intervalMillis = Math.round(intervalSeconds * 1_000);
    for (int i = 0; times == 0 || i < times; i++) {
      if (i > 0) {
        TimeUnit.MILLISECONDS.sleep(intervalMillis);
      }
      try {
        print(StatusClient.get(gateway, "/tally"), intervalMillis);
      } catch (IOException e) {
        // collectd logs standard error; the next interval may succeed
        System.err.println("lemondock: " + e.getMessage());
      }
      if (System.out.checkError()) {
        return 0; // collectd has closed the pipe
      }
    }
    return 0;
  }

  private void print(JsonNode metrics, long intervalMillis) {
    SnapshotParser.Parsed snapshot = SnapshotParser.parse(metrics.get("tally"));
    BufferedSnapshot buffered =
        new BufferedSnapshot(
            0, metrics.path("stampMs").asLong(), snapshot.series(), snapshot.values());
    ByteArrayOutputStream text = new ByteArrayOutputStream();
    new PutvalEncoder(
            new CollectdIdentifiers(host, metrics.path("instance").asText()), intervalMillis)
        .encode(buffered, 0, Integer.MAX_VALUE, text);
    System.out.writeBytes(text.toByteArray());
    System.out.flush();
  }
}
