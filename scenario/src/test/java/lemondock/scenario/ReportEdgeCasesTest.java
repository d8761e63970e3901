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
 * Collectors that misbehave, on sockets: requests do not notice, and neither do the other
 * collectors.
 */
class ReportEdgeCasesTest {
  private static final String TEXT = "answer in 5 words";

  private static ObjectNode destination(ObjectNode settings, String name, String kind) {
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

  private static Consumer<ObjectNode> graphite(GraphiteListener... listeners) {
    return s -> {
      for (int i = 0; i < listeners.length; i++) {
        destination(s, "g" + i, "graphite")
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

  private static void calls(ScenarioFixture fixture, String mark, int count) {
    List<CompletableFuture<McpCall>> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      all.add(
          fixture.begin(
              fixture.client(),
              ScenarioFixture.request(mark + i, TEXT, ToolBehaviour.ANSWER).withTenant("t" + i)));
    }
    for (CompletableFuture<McpCall> call : all) {
      CallRecord seen = ScenarioFixture.get(call).record();
      assertTrue(seen.served(), seen.toString());
    }
  }

  private static String served(JsonNode tally) {
    return tally.at("/tally/requests").findValuesAsText("served").stream()
            .mapToLong(Long::parseLong)
            .sum()
        + "";
  }

  private static long last(ReceivedReports received, String end) {
    return received.newest().entrySet().stream()
        .filter(e -> e.getKey().endsWith(end))
        .mapToLong(e -> e.getValue().values().get(0).longValue())
        .sum();
  }

  @Test
  void collectorsThatMisbehaveChangeNothingForRequestsOrForEachOther() throws IOException {
    try (GraphiteListener never = new GraphiteListener(0, false, Fault.NEVER_READS);
        GraphiteListener slow = new GraphiteListener(0, false, Fault.BYTE_A_SECOND);
        GraphiteListener resets = new GraphiteListener(0, false, Fault.RESETS);
        GraphiteListener noise = new GraphiteListener(0, false, Fault.GARBAGE);
        GraphiteListener good = new GraphiteListener(0, false, Fault.NONE);
        LoopbackPort unused = LoopbackPort.reserve()) {
      int nobody = unused.number();
      Consumer<ObjectNode> settings = graphite(never, slow, resets, noise, good);
      try (ScenarioFixture fixture =
          fixture(
              s -> {
                settings.accept(s);
                destination(s, "nobody", "graphite").put("address", "127.0.0.1:" + nobody);
                destination(s, "nobody-udp", "collectd").put("address", "127.0.0.1:" + nobody);
                destination(s, "no-name", "graphite").put("address", "does-not-exist.invalid:1");
                destination(s, "no-socket", "collectd-unixsock").put("path", "/nowhere/at/all");
              })) {
        calls(fixture, "a", 20);
        ScenarioFixture.await(
            "the one that resets was tried again", () -> resets.connections() >= 3);
        ScenarioFixture.await("the good one goes on", () -> last(good.received(), ".served") == 20);
        calls(fixture, "b", 20);
        long from = System.nanoTime();
        JsonNode tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        double seconds = (System.nanoTime() - from) / 1e9;
        assertTrue(seconds < 5, "the stop took " + seconds + " s");
        assertEquals("40", served(tally));
        ScenarioFixture.await(
            "the good one has the last word", () -> last(good.received(), ".served") == 40);
        ScenarioFixture.await(
            "so has the noisy one", () -> last(noise.received(), ".served") == 40);
        assertEquals(0, good.received().unreadable());
        JsonNode reports = tally.at("/tally/report");
        for (JsonNode r : reports) {
          String name = r.get("destination").textValue();
          if (name.startsWith("no")) {
            assertTrue(r.get("failures").longValue() > 0, r.toString());
            assertEquals(0, r.get("snapshots").longValue(), r.toString());
          }
          if (name.equals("g3")) {
            assertTrue(r.get("ignored").longValue() > 0, r.toString());
          }
        }
      }
    }
  }

  @Test
  void aCollectorThatComesBackGetsWhatItMissed() throws IOException {
    GraphiteListener first = new GraphiteListener(0, false, Fault.NONE);
    int port = first.port();
    try (ScenarioFixture fixture = fixture(graphite(first))) {
      calls(fixture, "a", 5);
      ScenarioFixture.await("reported", () -> last(first.received(), ".served") == 5);
      first.close();
      calls(fixture, "b", 5);
      ScenarioFixture.await(
          "snapshots wait", () -> fixture.fleet.reporting(ScenarioFixture.GATEWAY) != null);
      try (GraphiteListener second = new GraphiteListener(port, false, Fault.NONE)) {
        ScenarioFixture.await("all of it came", () -> last(second.received(), ".served") == 10);
      }
    }
  }

  @Test
  void lossAndReorderingOfDatagramsLeaveTheLastWordRight() throws IOException {
    try (CollectdListener listener = new CollectdListener(0, Map.of(), 5)) {
      listener.setPacketFaults(0.3, 0.3);
      try (ScenarioFixture fixture =
          fixture(
              s ->
                  destination(s, "udp", "collectd")
                      .put("address", "127.0.0.1:" + listener.port()))) {
        calls(fixture, "a", 20);
        ScenarioFixture.await("some came", () -> listener.received().values() > 2_000);
        ScenarioFixture.await("some came late", () -> listener.received().late() > 0);
        listener.setPacketFaults(0, 0);
        JsonNode tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        assertEquals("20", served(tally));
        ScenarioFixture.await(
            "the last word",
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
  void wrongPasswordsAreNoticedByTheCollectorOnly(@TempDir Path folder) throws IOException {
    Path users = folder.resolve("users");
    java.nio.file.Files.writeString(users, "till: wrong\n");
    try (CollectdListener listener = new CollectdListener(0, Map.of("till", "right"), 5)) {
      try (ScenarioFixture fixture =
          fixture(
              s -> {
                for (String form : List.of("sign", "encrypt")) {
                  destination(s, form, "collectd")
                      .put("address", "127.0.0.1:" + listener.port())
                      .put("security", form)
                      .put("username", "till")
                      .put("authFile", users.toString());
                }
              })) {
        calls(fixture, "a", 3);
        ScenarioFixture.await(
            "refused by the listener", () -> listener.received().unreadable() > 4);
        assertEquals(0, listener.received().values());
      }
    }
  }

  @Test
  void theUnixsockPluginsTextIsSpokenAndItsAnswersIgnored(@TempDir Path folder) throws IOException {
    Path path = folder.resolve("sock");
    try (UnixsockListener listener = new UnixsockListener(path)) {
      try (ScenarioFixture fixture =
          fixture(s -> destination(s, "sock", "collectd-unixsock").put("path", path.toString()))) {
        calls(fixture, "a", 4);
        JsonNode tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        ScenarioFixture.await(
            "the last word",
            () ->
                listener.received().newest().entrySet().stream()
                        .filter(e -> e.getKey().contains("/lemondock_requests-"))
                        .mapToLong(e -> e.getValue().values().get(2).longValue())
                        .sum()
                    == 4);
        assertEquals("4", served(tally));
        assertEquals(0, listener.received().unreadable());
      }
    }
  }

  @Test
  void twoGatewaysUnderOneNameAreToldApart() throws IOException {
    try (GraphiteListener listener = new GraphiteListener(0, false, Fault.NONE)) {
      Consumer<ObjectNode> reports = graphite(listener);
      try (ScenarioFixture one = fixture(reports);
          ScenarioFixture two = fixture(reports)) {
        calls(one, "a", 3);
        calls(two, "b", 5);
        String first = one.fleet.stopGateway(ScenarioFixture.GATEWAY).get("instance").textValue();
        String second = two.fleet.stopGateway(ScenarioFixture.GATEWAY).get("instance").textValue();
        assertNotEquals(first, second);
        for (Map.Entry<String, Integer> e : Map.of(first, 3, second, 5).entrySet()) {
          ScenarioFixture.await(
              "the last word of " + e.getKey(),
              () ->
                  listener.newest().entrySet().stream()
                          .filter(
                              p -> p.getKey().startsWith("lemondock." + e.getKey() + ".requests."))
                          .filter(p -> p.getKey().endsWith(".served"))
                          .mapToLong(p -> p.getValue().values().get(0).longValue())
                          .sum()
                      == e.getValue());
        }
      }
    }
  }

  @Test
  void aFloodOfTenantsIsBoundedAndStillCountedWhole() throws IOException {
    try (GraphiteListener listener = new GraphiteListener(0, false, Fault.NONE)) {
      Consumer<ObjectNode> reports = graphite(listener);
      try (ScenarioFixture fixture =
          fixture(
              s -> {
                reports.accept(s);
                ((ObjectNode) s.get("reporting"))
                    .put("maxTenants", 5)
                    .putArray("tenants")
                    .add("t39");
              })) {
        calls(fixture, "a", 40);
        JsonNode tally = fixture.fleet.stopGateway(ScenarioFixture.GATEWAY);
        assertEquals("40", served(tally));
        TreeSet<String> tenants =
            new TreeSet<>(tally.at("/tally/requests").findValuesAsText("tenant"));
        assertEquals(7, tenants.size(), tenants.toString());
        assertTrue(tenants.contains("other") && tenants.contains("t39"));
        JsonNode bound = null;
        for (JsonNode row : tally.at("/tally/bounds")) {
          bound = row.get("dimension").textValue().equals("tenant") ? row : bound;
        }
        assertEquals(34, bound.get("other").longValue());
      }
    }
  }

  @Test
  void toolCallsAndStatesAndAttemptsAreCounted() {
    try (ScenarioFixture fixture =
        fixture(s -> ((ObjectNode) s.at("/classes/0")).put("toolTimeoutMs", 300))) {
      CallRecord seen =
          fixture.call(
              ScenarioFixture.request(
                  "m1",
                  "call the tool stock and answer in 5 words",
                  ToolBehaviour.ANSWER,
                  "stock"));
      assertTrue(seen.served());
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
      JsonNode held = tally.at("/held/0");
      assertEquals(
          "4 4 0 0",
          held.get("made")
              + " "
              + held.get("fetched")
              + " "
              + held.get("let_go")
              + " "
              + held.get("now"));
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
