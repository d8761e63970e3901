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
 * A gateway's reports, on a loop, sockets and threads that no request uses: exporters to
 * collectors, the detector of degradations, the port that {@code lemondock status} asks, and the
 * final metrics. The gateway knows nothing of it but its {@link GatewayMetrics}.
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

  /** Makes reports of a gateway; {@code processMeters} holds gauges of the process. */
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
   * Begins to report; call it off the loops.
   *
   * @param gateway the address that the gateway's clients connect to; its port tells two gateways
   *     of one name apart
   * @throws SettingsException if a file of users cannot be used
   * @throws IOException if the port for {@code lemondock status} cannot be taken
   */
  public void start(InetSocketAddress gateway) throws SettingsException, IOException {
    instance =
        reporting.instance() != null
            ? reporting.instance()
            : settings.name() + "-" + gateway.getPort();
    statusPage = new StatusPage(settings, instance, exporter, detector);
    DestinationFactory destinations =
        new DestinationFactory(reporting, environment, exporter, instance);
    List<Runnable> starts = new ArrayList<>();
    for (int i = 0; i < reporting.destinations().size(); i++) {
      starts.add(destinations.add(reporting.destinations().get(i), "/reporting/destinations/" + i));
    }
    exporter.addGaugeSource(gauges::record);
    exporter.addSnapshotListener(this::onTick);
    if (reporting.listen() != null) {
      startStatusServer();
    }
    loop.execute(
        () -> {
          starts.forEach(Runnable::run);
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

  /** Adds a listener for each tick, before the start. It is called on the reports' loop. */
  public void addTickListener(PeriodicExporter.SnapshotListener listener) {
    exporter.addSnapshotListener(listener);
  }

  /** The name under which it reports; known once started. */
  public String instance() {
    return instance;
  }

  /** The address that answers {@code lemondock status}, if the settings name one; any thread. */
  public Optional<InetSocketAddress> statusAddress() {
    return Optional.ofNullable(statusServer).map(HttpServer::address);
  }

  /** The metrics as Micrometer's meters, for an embedding program's own registries. */
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
   * Takes the final snapshot, sends what is queued and closes; the future gives the metrics as
   * JSON.
   */
  public CompletableFuture<ObjectNode> finish() {
    CompletableFuture<ObjectNode> done = new CompletableFuture<>();
    long limitMicros = Math.max(MIN_FINISH_MICROS, GatewaySettings.micros(reporting.finishMs()));
    loop.execute(() -> exporter.shutDown(limitMicros, snapshot -> finished(snapshot, done)));
    return done;
  }

  private void finished(MetricsSnapshot snapshot, CompletableFuture<ObjectNode> done) {
    if (statusServer != null) {
      statusServer.stopListening();
    }
    ObjectNode finalMetrics = statusPage.metrics(snapshot, true);
    if (reporting.tallyFile() == null) {
      done.complete(finalMetrics);
      return;
    }
    environment
        .diskExecutor()
        .execute(
            () -> {
              writeFinalMetrics(Path.of(reporting.tallyFile()), finalMetrics);
              done.complete(finalMetrics);
            });
  }

  private static void writeFinalMetrics(Path file, ObjectNode finalMetrics) {
    try {
      String text = finalMetrics.toPrettyString() + "\n";
      AtomicFile.replace(file, text.getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      LOG.warn("the final metrics cannot be written to {}: {}", file, e.getMessage());
    }
  }
}
