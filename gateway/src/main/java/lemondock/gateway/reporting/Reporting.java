package lemondock.gateway.reporting;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import lemondock.anomaly.CusumDetector;
import lemondock.anomaly.DegradationChange;
import lemondock.anomaly.DegradationDetector;
import lemondock.exporter.ExporterEnvironment;
import lemondock.exporter.PeriodicExporter;
import lemondock.exporter.ServiceHealth;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.files.AtomicFile;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import lemondock.metrics.MetricsSnapshot;
import lemondock.metrics.MicrometerMeterBinder;
import lemondock.net.Loop;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway's metrics reporting, on a loop, sockets and threads of its own, which serve no calls:
 * exporters to collectors, the degradation detector, the port that {@code lemondock status}
 * queries, and the final metrics. The gateway shares only its {@link GatewayMetrics} with it.
 */
public final class Reporting {
  private static final Logger LOG = LoggerFactory.getLogger(Reporting.class);
  private static final int STATUS_CONNECTIONS = 64;
  private static final int STATUS_BODIES_BYTES = 1 << 20;
  private static final long STATUS_TIMEOUT_MICROS = 5_000_000;
  private static final long MIN_FINISH_MICROS = 1_000;

  private final GatewaySettings settings;
  private final GatewaySettings.Reporting reporting;
  private final ExporterEnvironment environment;
  private final Loop loop;
  private final PeriodicExporter exporter;
  private final DegradationDetector detector;
  private final ReportedGauges gauges;
  private final MicrometerMeterBinder meters = new MicrometerMeterBinder();
  private StatusPage statusPage;
  private HttpServer statusServer;
  private String instance;

  /** Creates the reporting of a gateway; {@code processMeters} holds gauges of the process. */
  public Reporting(
      GatewaySettings settings,
      GatewayMetrics gatewayMetrics,
      ExporterEnvironment environment,
      MeterRegistry processMeters) {
    this.settings = settings;
    this.reporting = settings.reporting();
    this.environment = environment;
    this.loop = environment.loop();
    this.exporter =
        new PeriodicExporter(
            loop,
            gatewayMetrics.registry(),
            new PeriodicExporter.Options(
                GatewaySettings.micros(reporting.tickMs()),
                (int) Math.round(reporting.intervalMs() / reporting.tickMs()),
                reporting.ringBytes(),
                reporting.ringSnapshots(),
                GatewaySettings.micros(reporting.mostAheadMs())));
    CusumDetector.Options cusumOptions = reporting.detector().toCusumOptions();
    this.detector = new DegradationDetector(() -> new CusumDetector(cusumOptions));
    this.gauges = new ReportedGauges(gatewayMetrics.registry(), processMeters, detector);
  }

  /**
   * Starts reporting; call it off the loops.
   *
   * @param gateway the address that the gateway's clients connect to; its port distinguishes two
   *     gateways of the same name
   * @throws SettingsException if an authentication file cannot be used
   * @throws IOException if the port for {@code lemondock status} cannot be bound
   */
  public void start(InetSocketAddress gateway) throws SettingsException, IOException {
    instance =
        reporting.instance() != null
            ? reporting.instance()
            : settings.name() + "-" + gateway.getPort();
    statusPage = new StatusPage(settings, instance, exporter, detector);
    DestinationFactory destinations =
        new DestinationFactory(reporting, environment, exporter, instance);
    List<Runnable> startActions = new ArrayList<>();
    for (int i = 0; i < reporting.destinations().size(); i++) {
      startActions.add(
          destinations.add(reporting.destinations().get(i), "/reporting/destinations/" + i));
    }
    exporter.addGaugeSource(gauges::record);
    exporter.addSnapshotListener(this::onTick);
    if (reporting.listen() != null) {
      startStatusServer();
    }
    loop.execute(
        () -> {
          startActions.forEach(Runnable::run);
          exporter.start();
        });
  }

  private void startStatusServer() throws IOException {
    statusServer =
        new HttpServer(
            loop,
            HttpServerOptions.builder()
                .limits(HttpLimits.DEFAULT)
                .maxConnections(STATUS_CONNECTIONS)
                .maxBufferedBodyBytes(STATUS_BODIES_BYTES)
                .idleTimeoutMicros(STATUS_TIMEOUT_MICROS)
                .requestTimeoutMicros(STATUS_TIMEOUT_MICROS)
                .stallTimeoutMicros(STATUS_TIMEOUT_MICROS)
                .build(),
            statusPage::serve);
    statusServer.start(environment.network(), SettingsFile.resolveAddress(reporting.listen()));
  }

  /**
   * Adds a listener for each tick; call it before the start. The listener is called on the
   * reporting loop.
   */
  public void addTickListener(PeriodicExporter.SnapshotListener listener) {
    exporter.addSnapshotListener(listener);
  }

  /** The instance name that the gateway reports under; null until started. */
  public String instance() {
    return instance;
  }

  /** The address that serves {@code lemondock status}, if the settings name one; any thread. */
  public Optional<InetSocketAddress> statusAddress() {
    return Optional.ofNullable(statusServer).map(HttpServer::address);
  }

  /** The metrics as Micrometer meters, for an embedding program's own registries. */
  public MicrometerMeterBinder meters() {
    return meters;
  }

  private void onTick(long stampMillis, MetricsSnapshot snapshot) {
    meters.update(snapshot);
    statusPage.onTick(stampMillis, loop.now(), snapshot);
    for (DegradationChange change :
        detector.observe(
            loop.now(), DetectorInput.requests(snapshot), DetectorInput.attempts(snapshot))) {
      LOG.warn("{}", change.message());
      exporter.notifyServiceHealth(
          change.isStart() ? ServiceHealth.DEGRADED : ServiceHealth.RECOVERED, change.message());
    }
  }

  /**
   * Takes the final snapshot, sends queued snapshots within the time limit and closes; the future
   * completes with the final metrics as JSON.
   */
  public CompletableFuture<ObjectNode> finish() {
    CompletableFuture<ObjectNode> finalMetricsFuture = new CompletableFuture<>();
    long limitMicros = Math.max(MIN_FINISH_MICROS, GatewaySettings.micros(reporting.finishMs()));
    loop.execute(
        () ->
            exporter.shutDown(
                limitMicros, snapshot -> completeFinish(snapshot, finalMetricsFuture)));
    return finalMetricsFuture;
  }

  private void completeFinish(
      MetricsSnapshot snapshot, CompletableFuture<ObjectNode> finalMetricsFuture) {
    if (statusServer != null) {
      statusServer.stopListening();
    }
    ObjectNode finalMetrics = statusPage.metrics(snapshot, true);
    if (reporting.tallyFile() == null) {
      finalMetricsFuture.complete(finalMetrics);
      return;
    }
    environment
        .diskExecutor()
        .execute(
            () -> {
              writeFinalMetrics(Path.of(reporting.tallyFile()), finalMetrics);
              finalMetricsFuture.complete(finalMetrics);
            });
  }

  private static void writeFinalMetrics(Path file, ObjectNode finalMetrics) {
    try {
      String text = finalMetrics.toPrettyString() + "\n";
      AtomicFile.replace(file, text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      LOG.warn("cannot write the final metrics to {}: {}", file, e.getMessage());
    }
  }
}
