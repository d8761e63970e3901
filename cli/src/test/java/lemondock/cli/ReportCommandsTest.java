package lemondock.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import lemondock.emulator.EngineSettings;
import lemondock.emulator.collect.ReceivedReports;
import lemondock.emulator.collect.UnixsockListener;
import lemondock.exporter.collectd.CounterType;
import lemondock.exporter.collectd.TypesDb;
import lemondock.gateway.Gateway;
import lemondock.metrics.MetricCatalogue;
import lemondock.scenario.LoopbackSettings;
import lemondock.scenario.ScenarioFleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests the commands that show and convert a gateway's metrics. */
class ReportCommandsTest {
  private static String output;

  private static int run(String... args) {
    PrintStream originalOut = System.out;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      return Lemondock.commandLine().execute(args);
    } finally {
      System.setOut(originalOut);
      output = bytes.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  void metricsPageAndTypesDbMatchTheCode() throws IOException {
    String hint =
        "regenerate the file: bin/lemondock metrics > docs/METRICS.md; bin/lemondock metrics"
            + " --types-db > conf/types.db";
    assertEquals(MetricCatalogue.markdown(), Files.readString(Path.of("../docs/METRICS.md")), hint);
    assertEquals(
        TypesDb.definitions(CounterType.DERIVE),
        Files.readString(Path.of("../conf/types.db")),
        hint);
    assertEquals(0, run("metrics", "--types-db", "--counter"));
    assertTrue(output.contains("in_time:COUNTER:0:U"));
  }

  @Test
  void statusDumpAndPutvalPrintGatewayMetrics(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("tally.json");
    var classes =
        LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", settings -> {}).classes();
    try (ScenarioFleet fleet = new ScenarioFleet(classes, 1)) {
      fleet.addEngine(EngineSettings.quick("m", "mixed", "north", "r1"));
      fleet.addGateway(
          LoopbackSettings.gateway(
              "gw",
              0,
              1,
              "north",
              fleet.reservePort(),
              fleet.catalogueAddress(),
              settings ->
                  settings
                      .putObject("reporting")
                      .put("listen", "127.0.0.1:" + fleet.reservePort())
                      .put("tickMs", 20)
                      .put("intervalMs", 20)
                      .put("tallyFile", file.toString())),
          Gateway.DEFAULT_ROUTER_FACTORY);
      assertTrue(fleet.awaitServers("gw", 1, 10_000));
      InetSocketAddress statusAddress = fleet.reporting("gw").statusAddress().orElseThrow();
      String address = statusAddress.getHostString() + ":" + statusAddress.getPort();
      for (int i = 0; i < 500 && (run("status", address) != 0 || !output.contains("mixed")); i++) {
        Thread.onSpinWait(); // the first snapshot may not have been taken yet
      }
      assertTrue(output.contains("no degradation detected") && output.contains("gw-"), output);
      assertEquals(0, run("status", address, "127.0.0.1:" + fleet.reservePort()));
      assertTrue(output.startsWith("NO ANSWER"), output);
      assertEquals(2, run("status", "127.0.0.1:" + fleet.reservePort()));
      assertEquals(0, run("metrics", "dump", address));
      JsonNode metrics = new ObjectMapper().readTree(output);
      assertEquals(false, metrics.get("final").booleanValue());
      ReceivedReports received = new ReceivedReports();
      assertEquals(0, run("putval", address, "--times", "1", "--host", "till"));
      for (String line : output.split("\n")) {
        assertTrue(UnixsockListener.readPutval(line, received), line);
      }
      assertTrue(
          received.newest().keySet().stream()
              .anyMatch(
                  name ->
                      name.startsWith("till/lemondock-gw-") && name.endsWith("/lemondock_gateway")),
          received.newest().keySet().toString());
      JsonNode finalMetrics = fleet.stopGateway("gw");
      assertEquals(0, run("metrics", "dump", "--file", file.toString()));
      assertEquals(
          finalMetrics.get("tally").get("requests"),
          new ObjectMapper().readTree(output).get("tally").get("requests"));
      assertEquals(true, new ObjectMapper().readTree(output).get("final").booleanValue());
    }
    assertEquals(2, run("metrics", "dump"));
  }

  @Test
  void statusShowsDegradationFirst() throws IOException {
    JsonNode answer =
        new ObjectMapper()
            .readTree(
                """
                {"instance": "gw-1", "zone": "north", "classes": [{"class": "day-close", "asked10s": 30, "inTime10s": 12,
                "asked60s": 100, "inTime60s": 80}], "falls": [{"class": "day-close", "zone": "north", "loss": 0.6,
                "requests": 20}], "servers": [{"role": "reader", "zone": "south", "ready": 1, "away": 2, "cold": 0,
                "avoided": 1}], "report": [{"destination": "g", "waiting": 7, "dropped": 3}]}\
                """);
    String text = StatusPage.render(List.of(answer), List.of());
    assertTrue(
        text.startsWith(
            "DEGRADED   day-close in north: 60 % of 20 requests lost in the last seconds"),
        text);
    assertTrue(text.contains("12.0 of 30.0 (40 %)") && text.contains("80.0 of 100.0 (80 %)"), text);
    assertTrue(text.contains("reports of gw-1 to g: 7 snapshots waiting, 3 dropped"), text);
  }
}
