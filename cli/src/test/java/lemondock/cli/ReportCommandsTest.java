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

/** What the command line tells of reports. */
class ReportCommandsTest {
  private static String out;

  private static int run(String... args) {
    PrintStream before = System.out;
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    System.setOut(new PrintStream(bytes, true, StandardCharsets.UTF_8));
    try {
      return Lemondock.commandLine().execute(args);
    } finally {
      System.setOut(before);
      out = bytes.toString(StandardCharsets.UTF_8);
    }
  }

  @Test
  void thePagesOfTheRepositoryAreWhatTheCodeSays() throws IOException {
    String again =
        "write it anew: bin/lemondock metrics > docs/METRICS.md; bin/lemondock metrics"
            + " --types-db > conf/types.db";
    assertEquals(
        MetricCatalogue.markdown(), Files.readString(Path.of("../docs/METRICS.md")), again);
    assertEquals(
        TypesDb.definitions(CounterType.DERIVE),
        Files.readString(Path.of("../conf/types.db")),
        again);
    assertEquals(0, run("metrics", "--types-db", "--counter"));
    assertTrue(out.contains("in_time:COUNTER:0:U"));
  }

  @Test
  void statusTallyAndPutvalTellWhatAGatewayCounts(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("tally.json");
    var classes = LoopbackSettings.gateway("x", 0, 1, "north", 1, "127.0.0.1:1", s -> {}).classes();
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
              s ->
                  s.putObject("reporting")
                      .put("listen", "127.0.0.1:" + fleet.reservePort())
                      .put("tickMs", 20)
                      .put("intervalMs", 20)
                      .put("tallyFile", file.toString())),
          Gateway.DEFAULT_ROUTER_FACTORY);
      assertTrue(fleet.awaitServers("gw", 1, 10_000));
      InetSocketAddress at = fleet.reporting("gw").statusAddress().orElseThrow();
      String address = at.getHostString() + ":" + at.getPort();
      for (int i = 0; i < 500 && (run("status", address) != 0 || !out.contains("mixed")); i++) {
        Thread.onSpinWait(); // the first looks may be a moment away
      }
      assertTrue(out.contains("no fall of service is seen") && out.contains("gw-"), out);
      assertEquals(0, run("status", address, "127.0.0.1:" + fleet.reservePort()));
      assertTrue(out.startsWith("NO ANSWER"), out);
      assertEquals(2, run("status", "127.0.0.1:" + fleet.reservePort()));
      assertEquals(0, run("metrics", "dump", address));
      JsonNode tally = new ObjectMapper().readTree(out);
      assertEquals(false, tally.get("final").booleanValue());
      ReceivedReports received = new ReceivedReports();
      assertEquals(0, run("putval", address, "--times", "1", "--host", "till"));
      for (String line : out.split("\n")) {
        assertTrue(UnixsockListener.readPutval(line, received), line);
      }
      assertTrue(
          received.newest().keySet().stream()
              .anyMatch(
                  n -> n.startsWith("till/lemondock-gw-") && n.endsWith("/lemondock_gateway")),
          received.newest().keySet().toString());
      JsonNode last = fleet.stopGateway("gw");
      assertEquals(0, run("metrics", "dump", "--file", file.toString()));
      assertEquals(
          last.get("tally").get("requests"),
          new ObjectMapper().readTree(out).get("tally").get("requests"));
      assertEquals(true, new ObjectMapper().readTree(out).get("final").booleanValue());
    }
    assertEquals(2, run("metrics", "dump"));
  }

  @Test
  void aFallIsTheFirstThingThatStatusSays() throws IOException {
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
            "FALLEN     day-close in north: 60 % of 20 requests of the last seconds" + " lost"),
        text);
    assertTrue(text.contains("12.0 of 30.0 (40 %)") && text.contains("80.0 of 100.0 (80 %)"), text);
    assertTrue(text.contains("reports of gw-1 to g: 7 snapshots wait, 3 dropped"), text);
  }
}
