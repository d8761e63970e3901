package lemondock.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.emulator.collect.GraphiteListener.Fault;
import lemondock.emulator.collect.ReceivedReports;
import lemondock.emulator.collect.UnixsockListener;
import lemondock.net.nio.LoopbackPort;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Collectors of metrics that misbehave on their sockets. They must affect neither requests nor the
 * reports to other collectors.
 */
class ReportEdgeCasesTest {
  private static final String PROMPT = "answer in 5 words";

  /** Adds a destination to the settings, with frequent reports; returns the destination's JSON. */
  private static ObjectNode addDestination(ObjectNode settings, String name, String kind) {
    ObjectNode reporting = (ObjectNode) settings.get("reporting");
    if (reporting == null) {
      reporting =
          settings
              .putObject("reporting")
              .put("tickMs", 50)
              .put("intervalMs", 50)
              .put("finishMs", 700)
              .put("host", "h");
      reporting.putArray("destinations");
    }
    return ((ArrayNode) reporting.get("destinations"))
        .addObject()
        .put("name", name)
        .put("kind", kind);
  }

  private static Consumer<ObjectNode> graphiteDestinations(GraphiteListener... listeners) {
    return settings -> {
      for (int i = 0; i < listeners.length; i++) {
        addDestination(settings, "g" + i, "graphite")
            .put("address", "127.0.0.1:" + listeners[i].port())
            .put("stallMs", 500)
            .put("backoffMs", 20)
            .put("maxBackoffMs", 100);
      }
    };
  }

  private static ScenarioFixture fixture(Consumer<ObjectNode> settings) {
    return new ScenarioFixture(
        settings, ScenarioFixture.reader("reader"), ScenarioFixture.writer("writer"));
  }

  /** Makes the calls at the same time, each for a different tenant; all must be served. */
  private static void assertCallsServed(ScenarioFixture fixture, String mark, int count) {
    List<CompletableFuture<McpCall>> calls = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      calls.add(
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request(mark + i, PROMPT, ToolBehaviour.ANSWER).withTenant("t" + i)));
    }
    for (CompletableFuture<McpCall> call : calls) {
      CallRecord record = ScenarioFixture.get(call).record();
      assertTrue(record.served(), record.toString());
    }
  }

  /** Number of served requests in the gateway's own counters, over all classes and tenants. */
  private static String servedRequests(JsonNode finalMetrics) {
    return finalMetrics.at("/tally/requests").findValuesAsText("served").stream()
            .mapToLong(Long::parseLong)
            .sum()
        + "";
  }

  /** Sum of the newest values whose metric name has the given ending. */
  private static long sumOfNewest(ReceivedReports received, String nameSuffix) {
    return received.newest().entrySet().stream()
        .filter(entry -> entry.getKey().endsWith(nameSuffix))
        .mapToLong(entry -> entry.getValue().values().get(0).longValue())
        .sum();
  }

  @Test
  void misbehavingCollectorsAffectNeitherRequestsNorEachOther() throws IOException {
    try (GraphiteListener neverReads = new GraphiteListener(0, false, Fault.NEVER_READS);
        GraphiteListener readsSlowly = new GraphiteListener(0, false, Fault.BYTE_A_SECOND);
        GraphiteListener resets = new GraphiteListener(0, false, Fault.RESETS);
        GraphiteListener sendsGarbage = new GraphiteListener(0, false, Fault.GARBAGE);
        GraphiteListener correct = new GraphiteListener(0, false, Fault.NONE);
        LoopbackPort unused = LoopbackPort.reserve()) {
      int unusedPort = unused.number();
      Consumer<ObjectNode> graphiteSettings =
          graphiteDestinations(neverReads, readsSlowly, resets, sendsGarbage, correct);
      try (ScenarioFixture fixture =
          fixture(
              settings -> {
                graphiteSettings.accept(settings);
                addDestination(settings, "nobody", "graphite")
                    .put("address", "127.0.0.1:" + unusedPort);
                addDestination(settings, "nobody-udp", "collectd")
                    .put("address", "127.0.0.1:" + unusedPort);
                addDestination(settings, "no-name", "graphite")
                    .put("address", "does-not-exist.invalid:1");
                addDestination(settings, "no-socket", "collectd-unixsock")
                    .put("path", "/nowhere/at/all");
              })) {
        assertCallsServed(fixture, "a", 20);
        ScenarioFixture.await(
            "the gateway reconnected to the collector that resets connections",
            () -> resets.connections() >= 3);
        ScenarioFixture.await(
            "the correct collector has received 20 served requests",
            () -> sumOfNewest(correct.received(), ".served") == 20);
        assertCallsServed(fixture, "b", 20);
        long stopStartedNanos = System.nanoTime();
        JsonNode finalMetrics = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        double stopSeconds = (System.nanoTime() - stopStartedNanos) / 1e9;
        assertTrue(
            stopSeconds < 5,
            "the gateway took " + stopSeconds + " s to stop, expected less than 5");
        assertEquals("40", servedRequests(finalMetrics));
        ScenarioFixture.await(
            "the correct collector has received the final report of 40 served requests",
            () -> sumOfNewest(correct.received(), ".served") == 40);
        ScenarioFixture.await(
            "the collector that sends garbage has received the final report too",
            () -> sumOfNewest(sendsGarbage.received(), ".served") == 40);
        assertEquals(0, correct.received().unreadable());
        JsonNode reports = finalMetrics.at("/tally/report");
        for (JsonNode report : reports) {
          String name = report.get("destination").textValue();
          if (name.startsWith("no")) {
            assertTrue(report.get("failures").longValue() > 0, report.toString());
            assertEquals(0, report.get("snapshots").longValue(), report.toString());
          }
          if (name.equals("g3")) {
            assertTrue(report.get("ignored").longValue() > 0, report.toString());
          }
        }
      }
    }
  }

  @Test
  void returningCollectorGetsTheCountsThatItMissed() throws IOException {
    GraphiteListener first = new GraphiteListener(0, false, Fault.NONE);
    int port = first.port();
    try (ScenarioFixture fixture = fixture(graphiteDestinations(first))) {
      assertCallsServed(fixture, "a", 5);
      ScenarioFixture.await(
          "the first collector has received 5 served requests",
          () -> sumOfNewest(first.received(), ".served") == 5);
      first.close();
      assertCallsServed(fixture, "b", 5);
      ScenarioFixture.await(
          "the gateway reports", () -> fixture.fleet.reporting(ScenarioFixture.GATEWAY) != null);
      try (GraphiteListener second = new GraphiteListener(port, false, Fault.NONE)) {
        ScenarioFixture.await(
            "the second collector has received 10 served requests",
            () -> sumOfNewest(second.received(), ".served") == 10);
      }
    }
  }

  @Test
  void lostAndReorderedDatagramsLeaveFinalReportCorrect() throws IOException {
    try (CollectdListener listener = new CollectdListener(0, Map.of(), 5)) {
      listener.setPacketFaults(0.3, 0.3);
      try (ScenarioFixture fixture =
          fixture(
              settings ->
                  addDestination(settings, "udp", "collectd")
                      .put("address", "127.0.0.1:" + listener.port()))) {
        assertCallsServed(fixture, "a", 20);
        ScenarioFixture.await(
            "more than 2000 values have arrived", () -> listener.received().values() > 2_000);
        ScenarioFixture.await(
            "a report has arrived out of order", () -> listener.received().late() > 0);
        listener.setPacketFaults(0, 0);
        JsonNode finalMetrics = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        assertEquals("20", servedRequests(finalMetrics));
        ScenarioFixture.await(
            "the collector has received the final report of served requests",
            () ->
                listener.received().newest().entrySet().stream()
                        .filter(e -> e.getKey().contains("/lemondock_requests-"))
                        .mapToLong(e -> e.getValue().values().get(2).longValue())
                        .sum()
                    == 20);
        assertEquals(0, listener.received().unreadable());
      }
    }
  }

  @Test
  void reportsWithWrongPasswordAreRejectedByCollector(@TempDir Path directory) throws IOException {
    Path users = directory.resolve("users");
    java.nio.file.Files.writeString(users, "till: wrong\n");
    try (CollectdListener listener = new CollectdListener(0, Map.of("till", "right"), 5)) {
      try (ScenarioFixture fixture =
          fixture(
              settings -> {
                for (String security : List.of("sign", "encrypt")) {
                  addDestination(settings, security, "collectd")
                      .put("address", "127.0.0.1:" + listener.port())
                      .put("security", security)
                      .put("username", "till")
                      .put("authFile", users.toString());
                }
              })) {
        assertCallsServed(fixture, "a", 3);
        ScenarioFixture.await(
            "the collector has rejected more than 4 packets",
            () -> listener.received().unreadable() > 4);
        assertEquals(0, listener.received().values());
      }
    }
  }

  @Test
  void unixsockReportsArriveAndTheirAnswersAreIgnored(@TempDir Path directory) throws IOException {
    Path path = directory.resolve("sock");
    try (UnixsockListener listener = new UnixsockListener(path)) {
      try (ScenarioFixture fixture =
          fixture(
              settings ->
                  addDestination(settings, "sock", "collectd-unixsock")
                      .put("path", path.toString()))) {
        assertCallsServed(fixture, "a", 4);
        JsonNode finalMetrics = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        ScenarioFixture.await(
            "the collector has received the final report of served requests",
            () ->
                listener.received().newest().entrySet().stream()
                        .filter(e -> e.getKey().contains("/lemondock_requests-"))
                        .mapToLong(e -> e.getValue().values().get(2).longValue())
                        .sum()
                    == 4);
        assertEquals("4", servedRequests(finalMetrics));
        assertEquals(0, listener.received().unreadable());
      }
    }
  }

  @Test
  void gatewaysOfTheSameNameReportUnderSeparateInstances() throws IOException {
    try (GraphiteListener listener = new GraphiteListener(0, false, Fault.NONE)) {
      Consumer<ObjectNode> reports = graphiteDestinations(listener);
      try (ScenarioFixture firstFixture = fixture(reports);
          ScenarioFixture secondFixture = fixture(reports)) {
        assertCallsServed(firstFixture, "a", 3);
        assertCallsServed(secondFixture, "b", 5);
        String firstInstance =
            firstFixture.fleet.stopGateway(ScenarioFixture.GATEWAY).get("instance").textValue();
        String secondInstance =
            secondFixture.fleet.stopGateway(ScenarioFixture.GATEWAY).get("instance").textValue();
        assertNotEquals(firstInstance, secondInstance);
        for (Map.Entry<String, Integer> served :
            Map.of(firstInstance, 3, secondInstance, 5).entrySet()) {
          ScenarioFixture.await(
              "the collector has received the final report of instance " + served.getKey(),
              () ->
                  listener.newest().entrySet().stream()
                          .filter(
                              entry ->
                                  entry
                                      .getKey()
                                      .startsWith("lemondock." + served.getKey() + ".requests."))
                          .filter(entry -> entry.getKey().endsWith(".served"))
                          .mapToLong(entry -> entry.getValue().values().get(0).longValue())
                          .sum()
                      == served.getValue());
        }
      }
    }
  }

  @Test
  void aFloodOfTenantsIsBoundedAndStillCountedWhole() throws IOException {
    try (GraphiteListener listener = new GraphiteListener(0, false, Fault.NONE)) {
      Consumer<ObjectNode> reports = graphiteDestinations(listener);
      try (ScenarioFixture fixture =
          fixture(
              settings -> {
                reports.accept(settings);
                ((ObjectNode) settings.get("reporting"))
                    .put("maxTenants", 5)
                    .putArray("tenants")
                    .add("t39");
              })) {
        assertCallsServed(fixture, "a", 40);
        JsonNode finalMetrics = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        assertEquals("40", servedRequests(finalMetrics));
        TreeSet<String> tenants =
            new TreeSet<>(finalMetrics.at("/tally/requests").findValuesAsText("tenant"));
        assertEquals(7, tenants.size(), tenants.toString());
        assertTrue(tenants.contains("other") && tenants.contains("t39"));
        JsonNode tenantBound = null;
        for (JsonNode row : finalMetrics.at("/tally/bounds")) {
          tenantBound = row.get("dimension").textValue().equals("tenant") ? row : tenantBound;
        }
        assertEquals(34, tenantBound.get("other").longValue());
      }
    }
  }

  @Test
  void toolCallsReservedStatesAndAttemptsAreCounted() {
    try (ScenarioFixture fixture =
        fixture(settings -> ((ObjectNode) settings.at("/classes/0")).put("toolTimeoutMs", 300))) {
      CallRecord record =
          fixture.call(
              ScenarioFixture.request(
                  "m1",
                  "call the tool stock and answer in 5 words",
                  ToolBehaviour.ANSWER,
                  "stock"));
      assertTrue(record.served());
      assertTrue(
          fixture
              .call(
                  ScenarioFixture.request(
                      "m2",
                      "call the tool stock and answer in 5 words",
                      ToolBehaviour.SILENT,
                      "stock"))
              .served());
      fixture.awaitIdle();
      JsonNode tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY).get("tally");
      JsonNode tools = tally.at("/tools/0");
      assertEquals(
          "2 1 1", tools.get("relayed") + " " + tools.get("answered") + " " + tools.get("lost"));
      JsonNode reservedStates = tally.at("/held/0");
      assertEquals(
          "4 4 0 0",
          reservedStates.get("made")
              + " "
              + reservedStates.get("fetched")
              + " "
              + reservedStates.get("let_go")
              + " "
              + reservedStates.get("now"));
      for (JsonNode row : tally.get("attempts")) {
        assertEquals(4, row.get("sent").longValue(), row.toString());
        assertEquals(
            4, row.get(row.get("role").textValue().equals("reader") ? "read" : "ok").longValue());
      }
      assertEquals(2, tally.at("/first_token/0/count").longValue());
      assertEquals(2, tally.at("/whole_time/0/count").longValue());
      assertEquals(0, tally.at("/gateway/0/calls").longValue());
      assertTrue(tally.at("/loop_lag/0/count").longValue() > 0);
    }
  }
}
