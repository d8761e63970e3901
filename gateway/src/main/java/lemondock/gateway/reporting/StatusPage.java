package lemondock.gateway.reporting;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import lemondock.anomaly.DegradationDetector;
import lemondock.anomaly.ScopeStatus;
import lemondock.exporter.PeriodicExporter;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.metrics.MetricsSnapshot;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;

/**
 * Serves the HTTP resources that {@code lemondock status} and {@code lemondock metrics} read: the
 * service level of the last seconds, degradations, and the metrics as JSON. Reporting loop only.
 */
final class StatusPage {
  private static final long SHORT_WINDOW_MICROS = 10_000_000;
  private static final long LONG_WINDOW_MICROS = 60_000_000;
  private static final List<String> STATUS_FAMILIES =
      List.of("servers", "gateway", "module", "loop_lag", "report");

  private final GatewaySettings settings;
  private final String instance;
  private final PeriodicExporter exporter;
  private final DegradationDetector detector;
  private final ServiceWindow shortWindow = new ServiceWindow(SHORT_WINDOW_MICROS);
  private final ServiceWindow longWindow = new ServiceWindow(LONG_WINDOW_MICROS);
  private long stampMillis;

  /** Creates a page for the gateway that reports as {@code instance}. */
  StatusPage(
      GatewaySettings settings,
      String instance,
      PeriodicExporter exporter,
      DegradationDetector detector) {
    this.settings = settings;
    this.instance = instance;
    this.exporter = exporter;
    this.detector = detector;
  }

  /** Adds a snapshot to the windows. */
  void onTick(long stampMillis, long nowMicros, MetricsSnapshot snapshot) {
    this.stampMillis = stampMillis;
    shortWindow.add(nowMicros, snapshot);
    longWindow.add(nowMicros, snapshot);
  }

  /** Responds to a request for {@code /status} or {@code /tally}. */
  void serve(HttpExchange exchange) {
    Optional<ObjectNode> page =
        switch (exchange.request().path()) {
          case "/status" -> Optional.of(status());
          case "/tally" -> Optional.of(metrics(exporter.latestSnapshot(), false));
          default -> Optional.empty();
        };
    if (page.isEmpty() || !exchange.request().method().equals("GET")) {
      exchange.respond(
          page.isEmpty() ? 404 : 405,
          Headers.of("content-type", "text/plain; charset=utf-8"),
          "GET /status or /tally\n".getBytes(StandardCharsets.UTF_8));
      return;
    }
    exchange.respond(
        200,
        Headers.of("content-type", "application/json"),
        page.get().toString().getBytes(StandardCharsets.UTF_8));
  }

  /** All metrics of a snapshot; {@code isFinal} marks the last snapshot of a process. */
  ObjectNode metrics(MetricsSnapshot snapshot, boolean isFinal) {
    ObjectNode root = header().put("final", isFinal);
    root.set("tally", SnapshotJson.of(snapshot));
    return root;
  }

  private ObjectNode status() {
    ObjectNode root = header();
    addServiceLevels(root.putArray("classes"));
    addDegradations(root.putArray("falls"));
    ObjectNode families = SnapshotJson.of(exporter.latestSnapshot());
    for (String family : STATUS_FAMILIES) {
      if (families.has(family)) {
        root.set(family, families.get(family));
      }
    }
    return root;
  }

  private ObjectNode header() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("gateway", settings.name())
        .put("instance", instance)
        .put("zone", settings.zone())
        .put("stampMs", stampMillis);
  }

  private void addServiceLevels(ArrayNode classes) {
    Map<String, ServiceWindow.ServiceLevel> longWindowLevels = longWindow.serviceLevelByClass();
    shortWindow
        .serviceLevelByClass()
        .forEach(
            (name, shortWindowLevel) -> {
              ServiceWindow.ServiceLevel longWindowLevel =
                  longWindowLevels.getOrDefault(name, shortWindowLevel);
              classes
                  .addObject()
                  .put("class", name)
                  .put("asked10s", shortWindowLevel.requested())
                  .put("inTime10s", shortWindowLevel.inTime())
                  .put("asked60s", longWindowLevel.requested())
                  .put("inTime60s", longWindowLevel.inTime());
            });
  }

  private void addDegradations(ArrayNode degradations) {
    for (ScopeStatus status : detector.scopeStatuses()) {
      if (status.isDegraded()) {
        degradations
            .addObject()
            .put("class", status.scope().name())
            .put("zone", status.scope().zone())
            .put("loss", status.lossRatio())
            .put("requests", status.requestCount());
      }
    }
  }
}
