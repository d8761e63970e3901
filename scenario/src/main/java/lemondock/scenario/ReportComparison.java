package lemondock.scenario;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import lemondock.emulator.collect.CollectdListener;
import lemondock.emulator.collect.GraphiteListener;
import lemondock.emulator.collect.ReceivedReports;
import lemondock.metrics.MetricFamilies;
import lemondock.metrics.MetricFamily;
import lemondock.metrics.MetricField;

/**
 * Small listeners for all forms of reports, and the comparison of what they were told last with the
 * gateways' own final tallies, value by value.
 */
public final class ReportComparison implements AutoCloseable {
  private static final String USER = "rehearsal";
  private static final String PASSWORD = "not a secret";
  private static final long WAIT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MOST_TOLD = 20;

  private final Map<String, GraphiteListener> graphite = new LinkedHashMap<>();
  private final Map<String, CollectdListener> collectd = new LinkedHashMap<>();
  private final Path users;
  private final List<String> differences = new ArrayList<>();
  private final List<JsonNode> tallies = new ArrayList<>();
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

  /** Names the listeners as destinations in a gateway's settings of reports. */
  public void addDestinations(ObjectNode reporting) {
    ArrayNode destinations = reporting.put("host", "rehearsal").putArray("destinations");
    graphite.forEach(
        (name, l) ->
            destinations
                .addObject()
                .put("name", name)
                .put("kind", name.equals("plain") ? "graphite" : "graphite-pickle")
                .put("address", "127.0.0.1:" + l.port()));
    collectd.forEach(
        (name, l) -> {
          ObjectNode d =
              destinations
                  .addObject()
                  .put("name", name)
                  .put("kind", "collectd")
                  .put("address", "127.0.0.1:" + l.port());
          if (!name.equals("bare")) {
            d.put("security", name.equals("signed") ? "sign" : "encrypt")
                .put("username", USER)
                .put("authFile", users.toString());
          }
        });
  }

  /** The listener for datagrams of a form: bare, signed, encrypted. */
  public CollectdListener datagrams(String form) {
    return collectd.get(form);
  }

  /** The listener for a form of Graphite's: plain, pickle. */
  public GraphiteListener stream(String form) {
    return graphite.get(form);
  }

  /** Stops the gateways and compares; what differs is told by {@link #differences}. */
  void compare(ScenarioFleet fleet) {
    for (String gateway : fleet.gateways()) {
      JsonNode tally = fleet.stopGateway(gateway);
      tallies.add(tally);
      String instance = tally.get("instance").textValue();
      Map<String, BigDecimal> own = values(tally);
      compared += own.size() * (graphite.size() + collectd.size());
      graphite.forEach(
          (name, l) ->
              compare(gateway + " " + name, own, () -> ofGraphite(l.received(), instance)));
      collectd.forEach(
          (name, l) ->
              compare(gateway + " " + name, own, () -> ofCollectd(l.received(), instance)));
    }
  }

  /** Waits until both agree; what was sent last may still be on its way. */
  private void compare(String where, Map<String, BigDecimal> own, Told told) {
    long until = System.nanoTime() + WAIT_NANOS;
    Map<String, BigDecimal> got = told.now();
    while (!same(own, got) && System.nanoTime() < until) {
      try {
        TimeUnit.MILLISECONDS.sleep(5);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      got = told.now();
    }
    for (Map.Entry<String, BigDecimal> value : own.entrySet()) {
      BigDecimal other = got.get(value.getKey());
      if ((other == null || other.compareTo(value.getValue()) != 0)
          && differences.size() < MOST_TOLD) {
        differences.add(
            where
                + ": "
                + value.getKey()
                + " is "
                + value.getValue()
                + " in the tally, was told as "
                + other);
      }
    }
  }

  private interface Told {
    Map<String, BigDecimal> now();
  }

  private static boolean same(Map<String, BigDecimal> own, Map<String, BigDecimal> got) {
    return own.entrySet().stream()
        .allMatch(
            e ->
                got.containsKey(e.getKey())
                    && got.get(e.getKey()) != null
                    && got.get(e.getKey()).compareTo(e.getValue()) == 0);
  }

  private static String key(String family, List<String> labels, String field) {
    return family + labels + field;
  }

  /** The tally's values by family, labels and field. */
  private static Map<String, BigDecimal> values(JsonNode tally) {
    Map<String, BigDecimal> values = new TreeMap<>();
    for (MetricFamily family : MetricFamilies.ALL) {
      for (JsonNode row : tally.get("tally").path(family.name())) {
        List<String> labels =
            family.labelNames().stream().map(d -> row.get(d).textValue()).toList();
        for (MetricField field : family.fields()) {
          if (row.has(field.name())) {
            values.put(
                key(family.name(), labels, field.name()), row.get(field.name()).decimalValue());
          }
        }
      }
    }
    return values;
  }

  private static String plain(String part) {
    return URLDecoder.decode(part.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  private static Map<String, BigDecimal> ofGraphite(ReceivedReports received, String instance) {
    Map<String, BigDecimal> values = new TreeMap<>();
    received
        .newest()
        .forEach(
            (path, entry) -> {
              String[] parts = path.split("\\.");
              if (plain(parts[1]).equals(instance)) {
                List<String> labels = new ArrayList<>();
                for (int i = 3; i < parts.length - 1; i++) {
                  labels.add(plain(parts[i]));
                }
                values.put(key(parts[2], labels, parts[parts.length - 1]), entry.values().get(0));
              }
            });
    return values;
  }

  private static Map<String, BigDecimal> ofCollectd(ReceivedReports received, String instance) {
    Map<String, BigDecimal> values = new TreeMap<>();
    received
        .newest()
        .forEach(
            (name, entry) -> {
              String[] parts = name.split("/");
              if (parts[1].equals("lemondock-" + instance)) {
                String[] type = parts[2].split("-", 2);
                MetricFamily family =
                    MetricFamilies.ALL.stream()
                        .filter(f -> type[0].equals("lemondock_" + f.name()))
                        .findFirst()
                        .orElseThrow();
                List<String> labels =
                    type.length == 1
                        ? List.of()
                        : java.util.Arrays.stream(type[1].split("\\."))
                            .map(ReportComparison::plain)
                            .toList();
                for (int i = 0; i < family.fields().size(); i++) {
                  MetricField field = family.fields().get(i);
                  BigDecimal value = entry.values().get(i);
                  values.put(
                      key(family.name(), labels, field.name()),
                      value == null || field.kind() == MetricField.Kind.GAUGE
                          ? value
                          : value.movePointLeft(field.decimalPlaces()));
                }
              }
            });
    return values;
  }

  /** What differed, in words; empty if all that was told last agrees with the tallies. */
  public List<String> differences() {
    return List.copyOf(differences);
  }

  /** Values compared, one for each value of a tally and form of report. */
  public int compared() {
    return compared;
  }

  /** The gateways' final tallies. */
  public List<JsonNode> tallies() {
    return List.copyOf(tallies);
  }

  @Override
  public void close() throws IOException {
    for (GraphiteListener l : graphite.values()) {
      l.close();
    }
    collectd.values().forEach(CollectdListener::close);
    Files.deleteIfExists(users);
  }
}
