package lemondock.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Renders the text of {@code lemondock status}: degradations first, then service by region and
 * class, then gateways, servers and lagging exporters. Its input is the JSON of {@code /status}.
 */
final class StatusPage {
  private static final String[] SERVER_COUNTS = {"ready", "away", "cold", "avoided"};

  private final StringBuilder text = new StringBuilder();
  private final List<JsonNode> statuses;

  private StatusPage(List<JsonNode> statuses) {
    this.statuses = statuses;
  }

  /**
   * Renders the page.
   *
   * @param statuses the {@code /status} document of each gateway that answered
   * @param unreachable an error message for each gateway that did not answer
   */
  static String render(List<JsonNode> statuses, List<String> unreachable) {
    StatusPage page = new StatusPage(statuses);
    unreachable.forEach(reason -> page.text.append("NO ANSWER  ").append(reason).append('\n'));
    page.appendDegradations();
    page.appendService();
    page.appendGateways();
    page.appendServers();
    page.appendLaggingExporters();
    return page.text.toString();
  }

  private void append(String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }

  private void appendDegradations() {
    boolean degraded = false;
    for (JsonNode status : statuses) {
      for (JsonNode degradation : status.path("falls")) {
        degraded = true;
        append(
            "DEGRADED   %s in %s: %.0f %% of %d requests lost in the last seconds, reported by"
                + " %s%n",
            degradation.path("class").asText(),
            degradation.path("zone").asText(),
            100 * degradation.path("loss").asDouble(),
            degradation.path("requests").asLong(),
            status.path("instance").asText());
      }
    }
    if (!degraded && !statuses.isEmpty()) {
      text.append("no degradation detected\n");
    }
  }

  /**
   * Priority weight of one class in one region over the last 10 and 60 seconds: of all received
   * requests, and of those that were answered in time.
   */
  private static final class Service {
    private double asked10s;
    private double inTime10s;
    private double asked60s;
    private double inTime60s;

    void add(JsonNode requestClass) {
      asked10s += requestClass.path("asked10s").asDouble();
      inTime10s += requestClass.path("inTime10s").asDouble();
      asked60s += requestClass.path("asked60s").asDouble();
      inTime60s += requestClass.path("inTime60s").asDouble();
    }
  }

  /** A region and the request class or server role of a row. */
  private record RowKey(String region, String name) {}

  /** Sums over the gateways of a region, because each one sees only its own part of the traffic. */
  private void appendService() {
    Map<RowKey, Service> services = new LinkedHashMap<>();
    for (JsonNode status : statuses) {
      for (JsonNode requestClass : status.path("classes")) {
        RowKey key = new RowKey(status.path("zone").asText(), requestClass.path("class").asText());
        services.computeIfAbsent(key, absent -> new Service()).add(requestClass);
      }
    }
    append("%n%-16s %-20s %22s %22s%n", "region", "class", "in time of total, 10 s", "60 s");
    services.forEach(
        (key, service) ->
            append(
                "%-16s %-20s %22s %22s%n",
                key.region(),
                key.name(),
                formatShare(service.asked10s, service.inTime10s),
                formatShare(service.asked60s, service.inTime60s)));
  }

  private void appendGateways() {
    append(
        "%n%-24s %6s %8s %8s %7s %9s%n",
        "gateway", "calls", "sessions", "queued", "servers", "lag p99");
    for (JsonNode status : statuses) {
      JsonNode gateway = status.at("/gateway/0");
      append(
          "%-24s %6d %8d %8d %7d %6.1f ms%n",
          status.path("instance").asText(),
          gateway.path("calls").asLong(),
          gateway.path("sessions").asLong(),
          status.at("/module/0/parked").asLong(),
          gateway.path("servers").asLong(),
          status.at("/loop_lag/0/p99").asDouble());
    }
  }

  private void appendServers() {
    Map<RowKey, long[]> maxima = new LinkedHashMap<>();
    for (JsonNode status : statuses) {
      for (JsonNode servers : status.path("servers")) {
        RowKey key = new RowKey(servers.path("zone").asText(), servers.path("role").asText());
        long[] counts = maxima.computeIfAbsent(key, absent -> new long[SERVER_COUNTS.length]);
        for (int i = 0; i < SERVER_COUNTS.length; i++) {
          counts[i] = Math.max(counts[i], servers.path(SERVER_COUNTS[i]).asLong());
        }
      }
    }
    append(
        "%n%-16s %-10s %6s %6s %6s %8s   (maximum over the gateways)%n",
        "servers in", "role", "ready", "away", "cold", "ejected");
    maxima.forEach(
        (key, counts) ->
            append(
                "%-16s %-10s %6d %6d %6d %8d%n",
                key.region(), key.name(), counts[0], counts[1], counts[2], counts[3]));
  }

  private void appendLaggingExporters() {
    for (JsonNode status : statuses) {
      for (JsonNode exporter : status.path("report")) {
        if (exporter.path("dropped").asLong() > 0 || exporter.path("waiting").asLong() > 1) {
          append(
              "%nreports of %s to %s: %d snapshots waiting, %d dropped%n",
              status.path("instance").asText(),
              exporter.path("destination").asText(),
              exporter.path("waiting").asLong(),
              exporter.path("dropped").asLong());
        }
      }
    }
  }

  private static String formatShare(double asked, double inTime) {
    return asked == 0
        ? "-"
        : String.format(Locale.ROOT, "%.1f of %.1f (%.0f %%)", inTime, asked, 100 * inTime / asked);
  }
}
