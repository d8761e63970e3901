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
 * What {@code lemondock status} and {@code lemondock metrics} read over HTTP: service of the last
 * seconds, degradations, and the metrics as JSON. Reports' loop only.
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

  /** A page about the gateway that reports under {@code instance}. */
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

  /** Takes a snapshot in. */
  void onTick(long stampMillis, long nowMicros, MetricsSnapshot snapshot) {
    this.stampMillis = stampMillis;
    shortWindow.add(nowMicros, snapshot);
    longWindow.add(nowMicros, snapshot);
  }

  /** Answers a request. */
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

  /** All metrics of a snapshot; {@code last} marks the final one of a process. */
  ObjectNode metrics(MetricsSnapshot snapshot, boolean last) {
    ObjectNode root = header().put("final", last);
    root.set("tally", SnapshotJson.of(snapshot));
    return root;
  }

  private ObjectNode status() {
    ObjectNode root = header();
    addService(root.putArray("classes"));
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

  private void addService(ArrayNode classes) {
    Map<String, ServiceWindow.Service> longer = longWindow.serviceByClass();
    shortWindow
        .serviceByClass()
        .forEach(
            (name, service) -> {
              ServiceWindow.Service ofLongWindow = longer.getOrDefault(name, service);
              classes
                  .addObject()
                  .put("class", name)
                  .put("asked10s", service.requested())
                  .put("inTime10s", service.inTime())
                  .put("asked60s", ofLongWindow.requested())
                  .put("inTime60s", ofLongWindow.inTime());
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
