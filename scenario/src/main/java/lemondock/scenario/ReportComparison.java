package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;

/**
 * Runs listeners for all report formats and compares the values that each received last with the
 * gateways' final metrics. Used by the thread that plays the scenario.
 */
public final class ReportComparison implements AutoCloseable {
  private static final String USER = "rehearsal";
  private static final String PASSWORD = "not a secret";
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final long POLL_MS = 5;
  private static final int MAX_DIFFERENCES = 20;

  private final Map<String, GraphiteListener> graphite = new LinkedHashMap<>();
  private final Map<String, CollectdListener> collectd = new LinkedHashMap<>();
  private final Path users;
  private final List<String> differences = new ArrayList<>();
  private final List<JsonNode> finalMetrics = new ArrayList<>();
  private int compared;

  /** Starts the listeners on free ports. */
  public ReportComparison() {
    try {
      graphite.put("plain", new GraphiteListener(0, false, GraphiteListener.Fault.NONE));
      graphite.put("pickle", new GraphiteListener(0, true, GraphiteListener.Fault.NONE));
      collectd.put("bare", new CollectdListener(0, Map.of(), 1));
      collectd.put("signed", new CollectdListener(0, Map.of(USER, PASSWORD), 2));
      collectd.put("encrypted", new CollectdListener(0, Map.of(USER, PASSWORD), 3));
      users = Files.createTempFile("lemondock-users", null);
      Files.writeString(
          users, "# users of the rehearsal\nother: x\n" + USER + ": " + PASSWORD + "\n");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Adds the listeners as destinations to the {@code reporting} settings of a gateway. */
  void addDestinations(ObjectNode reporting) {
    ArrayNode destinations = reporting.put("host", "rehearsal").putArray("destinations");
    graphite.forEach(
        (name, listener) ->
            destinations
                .addObject()
                .put("name", name)
                .put("kind", name.equals("plain") ? "graphite" : "graphite-pickle")
                .put("address", "127.0.0.1:" + listener.port()));
    collectd.forEach(
        (name, listener) -> {
          ObjectNode destination =
              destinations
                  .addObject()
                  .put("name", name)
                  .put("kind", "collectd")
                  .put("address", "127.0.0.1:" + listener.port());
          if (!name.equals("bare")) {
            destination
                .put("security", name.equals("signed") ? "sign" : "encrypt")
                .put("username", USER)
                .put("authFile", users.toString());
          }
        });
  }

  /** The listener for a variant of collectd's protocol: bare, signed or encrypted. */
  public CollectdListener collectdListener(String variant) {
    return collectd.get(variant);
  }

  /** The listener for a variant of Graphite's protocol: plain or pickle. */
  public GraphiteListener graphiteListener(String variant) {
    return graphite.get(variant);
  }

  /** Stops the gateways and compares; {@link #differences} returns the result. */
  void compare(ScenarioFleet fleet) {
    for (String gateway : fleet.gateways()) {
      JsonNode metrics = fleet.stopGateway(gateway);
      finalMetrics.add(metrics);
      String instance = metrics.get("instance").textValue();
      Map<String, BigDecimal> expected = ReportedValues.ofFinalMetrics(metrics);
      compared += expected.size() * (graphite.size() + collectd.size());
      graphite.forEach(
          (variant, listener) ->
              compare(
                  gateway + " " + variant,
                  expected,
                  () -> ReportedValues.ofGraphite(listener.received(), instance)));
      collectd.forEach(
          (variant, listener) ->
              compare(
                  gateway + " " + variant,
                  expected,
                  () -> ReportedValues.ofCollectd(listener.received(), instance)));
    }
  }

  /** Waits up to 5 s for agreement, since the last report may still be in transit. */
  private void compare(
      String source,
      Map<String, BigDecimal> expected,
      Supplier<Map<String, BigDecimal>> reportedNow) {
    long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
    Map<String, BigDecimal> reported = reportedNow.get();
    while (!containsAll(reported, expected) && System.nanoTime() < deadlineNanos) {
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      reported = reportedNow.get();
    }
    for (Map.Entry<String, BigDecimal> value : expected.entrySet()) {
      if (!contains(reported, value) && differences.size() < MAX_DIFFERENCES) {
        differences.add(
            source
                + ": "
                + value.getKey()
                + " is "
                + value.getValue()
                + " in the final metrics, but was last reported as "
                + reported.get(value.getKey()));
      }
    }
  }

  private static boolean containsAll(
      Map<String, BigDecimal> reported, Map<String, BigDecimal> expected) {
    return expected.entrySet().stream().allMatch(value -> contains(reported, value));
  }

  private static boolean contains(
      Map<String, BigDecimal> reported, Map.Entry<String, BigDecimal> expected) {
    BigDecimal value = reported.get(expected.getKey());
    return value != null && value.compareTo(expected.getValue()) == 0;
  }

  /** Descriptions of the first 20 differences; empty if all values agree. */
  public List<String> differences() {
    return List.copyOf(differences);
  }

  /** Number of comparisons: each value of a gateway's metrics counts once per report format. */
  public int compared() {
    return compared;
  }

  /** The gateways' final metrics. */
  public List<JsonNode> finalMetrics() {
    return List.copyOf(finalMetrics);
  }

  @Override
  public void close() throws IOException {
    for (GraphiteListener listener : graphite.values()) {
      listener.close();
    }
    collectd.values().forEach(CollectdListener::close);
    Files.deleteIfExists(users);
  }
}
