package lemondock.gateway.reporting;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import lemondock.anomaly.Cusum;
import lemondock.anomaly.DegradationDetector;
import lemondock.exporter.Dialer;
import lemondock.exporter.Encoder;
import lemondock.exporter.Environment;
import lemondock.exporter.Reporter;
import lemondock.exporter.StreamDestination;
import lemondock.exporter.collectd.AuthFile;
import lemondock.exporter.collectd.DatagramDestination;
import lemondock.exporter.collectd.Identity;
import lemondock.exporter.collectd.Packets;
import lemondock.exporter.collectd.PutVal;
import lemondock.exporter.collectd.Seal;
import lemondock.exporter.graphite.Pickle;
import lemondock.exporter.graphite.PlainText;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsException;
import lemondock.gateway.settings.SettingsFile;
import lemondock.metrics.MeterView;
import lemondock.metrics.Metrics;
import lemondock.metrics.Recorder;
import lemondock.metrics.Series;
import lemondock.metrics.Snapshot;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway's reports, on a loop, sockets and threads that no request uses: collectors, the
 * detector of falls, the port that {@code lemondock status} asks, and the final tally. The gateway
 * knows nothing of it but its {@link GatewayMetrics}.
 */
public final class Reporting {
  private static final Logger LOG = LoggerFactory.getLogger(Reporting.class);
  private static final String DEFAULT_PREFIX = "lemondock";
  private static final int DEFAULT_PACKET_BYTES = 1_452;
  private static final long SHORT_WINDOW_MICROS = 10_000_000;
  private static final long LONG_WINDOW_MICROS = 60_000_000;
  private static final int MAX_PROCESS_METERS = 200;
  private static final int STATUS_CONNECTIONS = 64;
  private static final long STATUS_TIMEOUT_MICROS = 5_000_000;
  private static final long MIN_FINISH_MICROS = 1_000;
  private static final double PROCESS_VALUE_SCALE = 1_000;

  private final GatewaySettings settings;
  private final GatewaySettings.Reporting reporting;
  private final GatewayMetrics gatewayMetrics;
  private final Environment environment;
  private final Loop loop;
  private final Reporter reporter;
  private final DegradationDetector detector;
  private final MeterView meters = new MeterView();
  private final MeterRegistry processMeters;
  private final ServiceWindow shortWindow = new ServiceWindow(SHORT_WINDOW_MICROS);
  private final ServiceWindow longWindow = new ServiceWindow(LONG_WINDOW_MICROS);
  private final Map<String, Series> processSeries = new LinkedHashMap<>();
  private final Map<DegradationDetector.Key, Series> degradations = new LinkedHashMap<>();
  private final Series notFinite;
  private HttpServer status;
  private String instance;
  private long notFiniteCount;
  private long stampMillis;

  /**
   * Makes reports of a gateway; {@code processMeters} holds gauges of the process that are told
   * along.
   */
  public Reporting(
      GatewaySettings settings,
      GatewayMetrics gatewayMetrics,
      Environment environment,
      MeterRegistry processMeters) {
    this.settings = settings;
    this.reporting = settings.reporting();
    this.gatewayMetrics = gatewayMetrics;
    this.environment = environment;
    this.loop = environment.loop();
    this.processMeters = processMeters;
    this.reporter =
        new Reporter(
            loop,
            gatewayMetrics.tally(),
            new Reporter.Options(
                GatewaySettings.micros(reporting.tickMs()),
                (int) Math.round(reporting.intervalMs() / reporting.tickMs()),
                reporting.ringBytes(),
                reporting.ringSnapshots(),
                GatewaySettings.micros(reporting.mostAheadMs())));
    GatewaySettings.Detector detectorSettings = reporting.detector();
    Cusum.Settings cusumSettings =
        new Cusum.Settings(
            detectorSettings.leastUsual(),
            detectorSettings.mostUsual(),
            detectorSettings.fall(),
            detectorSettings.times(),
            detectorSettings.threshold(),
            detectorSettings.clear(),
            GatewaySettings.micros(detectorSettings.holdMs()),
            GatewaySettings.micros(detectorSettings.quietMs()),
            detectorSettings.memory());
    this.detector = new DegradationDetector(() -> new Cusum(cusumSettings));
    this.notFinite = gatewayMetrics.tally().series(Metrics.BOUNDS, "not_finite");
  }

  /**
   * Begins to report; call it off the loops.
   *
   * @param gateway the address that the gateway's clients come to; its port tells two gateways of
   *     one name apart
   * @throws SettingsException if a file of users cannot be used
   * @throws IOException if the port for {@code lemondock status} cannot be taken
   */
  public void start(InetSocketAddress gateway) throws SettingsException, IOException {
    instance =
        reporting.instance() != null
            ? reporting.instance()
            : settings.name() + "-" + gateway.getPort();
    List<Runnable> starts = new ArrayList<>();
    for (int i = 0; i < reporting.destinations().size(); i++) {
      starts.add(destination(reporting.destinations().get(i), "/reporting/destinations/" + i));
    }
    reporter.onGauges(this::gauges);
    reporter.onTick(this::onTick);
    if (reporting.listen() != null) {
      status =
          new HttpServer(
              loop,
              new HttpServerOptions(
                  HttpLimits.DEFAULT,
                  STATUS_CONNECTIONS,
                  1 << 20,
                  STATUS_TIMEOUT_MICROS,
                  STATUS_TIMEOUT_MICROS,
                  STATUS_TIMEOUT_MICROS),
              this::serve);
      status.start(environment.network(), SettingsFile.resolveAddress(reporting.listen()));
    }
    loop.execute(
        () -> {
          starts.forEach(Runnable::run);
          reporter.start();
        });
  }

  /** Adds what hears of each look; before the start. It is called on the reports' loop. */
  public void addTickListener(Reporter.Listener listener) {
    reporter.onTick(listener);
  }

  /** The name under which it reports; known once started. */
  public String instance() {
    return instance;
  }

  /** The address that answers {@code lemondock status}; null if none is set. */
  public InetSocketAddress statusAddress() {
    return status == null ? null : status.address();
  }

  /** The tally as Micrometer's meters, for an embedding program's own registries. */
  public MeterView meters() {
    return meters;
  }

  private Runnable destination(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    long interval = Math.round(reporting.intervalMs());
    Identity names =
        new Identity(
            reporting.host() != null ? reporting.host() : environment.hostName(), instance);
    InetSocketAddress address =
        settings.address() == null ? null : SettingsFile.parseAddress(settings.address());
    if (settings.kind().equals("collectd")) {
      Packets packets =
          new Packets(
              names,
              seal(settings, pointer),
              settings.packetBytes() == null ? DEFAULT_PACKET_BYTES : settings.packetBytes(),
              interval,
              !"counter".equals(settings.counters()));
      reporter.add(
          new DatagramDestination(
              loop,
              settings.name(),
              address.getHostString(),
              address.getPort(),
              environment.resolver(),
              environment.datagrams(),
              packets,
              reporter.ring(),
              settings.maxSnapshots(),
              GatewaySettings.micros(settings.maxBackoffMs())));
      return () -> {};
    }
    String prefix = settings.prefix() == null ? DEFAULT_PREFIX : settings.prefix();
    boolean tags = Boolean.TRUE.equals(settings.tags());
    Encoder encoder =
        switch (settings.kind()) {
          case "graphite" -> new PlainText(prefix, instance, tags);
          case "graphite-pickle" -> new Pickle(prefix, instance, tags);
          default -> new PutVal(names, interval);
        };
    Dialer dialer =
        settings.path() != null
            ? handler -> environment.unix().accept(Path.of(settings.path()), handler)
            : Dialer.tcp(
                loop,
                environment.network(),
                environment.resolver(),
                address.getHostString(),
                address.getPort(),
                GatewaySettings.micros(settings.connectTimeoutMs()));
    StreamDestination made =
        new StreamDestination(
            loop,
            settings.name(),
            dialer,
            encoder,
            reporter.ring(),
            new StreamDestination.Options(
                settings.maxSnapshots(),
                GatewaySettings.micros(settings.resendMs()),
                GatewaySettings.micros(settings.stallMs()),
                GatewaySettings.micros(settings.backoffMs()),
                GatewaySettings.micros(settings.maxBackoffMs())),
            environment.random());
    reporter.add(made);
    return made::start;
  }

  private static Seal seal(GatewaySettings.Destination settings, String pointer)
      throws SettingsException {
    if (settings.security() == null || settings.security().equals("none")) {
      return new Seal(Seal.Level.NONE, "", "");
    }
    String password;
    try {
      password =
          AuthFile.password(Files.readAllLines(Path.of(settings.authFile())), settings.username())
              .orElse(null);
    } catch (IOException e) {
      throw new SettingsException(
          List.of(
              settings.authFile()
                  + ": "
                  + pointer
                  + "/authFile: expected a file of lines "
                  + "'name: password', found: "
                  + e));
    }
    if (password == null) {
      throw new SettingsException(
          List.of(
              settings.authFile()
                  + ": "
                  + pointer
                  + "/username: expected a line for user "
                  + settings.username()
                  + ", found none"));
    }
    return new Seal(
        settings.security().equals("sign") ? Seal.Level.SIGN : Seal.Level.ENCRYPT,
        settings.username(),
        password);
  }

  // ==== looks

  private void gauges(Recorder recorder) {
    MeterView.gauges(
        processMeters,
        (name, value) -> {
          Series series = processSeries.get(name);
          if (series == null && processSeries.size() < MAX_PROCESS_METERS) {
            series = gatewayMetrics.tally().series(Metrics.PROCESS, name);
            processSeries.put(name, series);
          }
          if (series == null) {
            return;
          }
          boolean finite =
              Double.isFinite(value)
                  && Math.abs(value) < Long.MAX_VALUE / (2 * PROCESS_VALUE_SCALE);
          notFiniteCount += finite ? 0 : 1;
          recorder.set(
              series.first(), finite ? Math.round(value * PROCESS_VALUE_SCALE) : Snapshot.ABSENT);
        });
    recorder.set(notFinite.first(), notFiniteCount);
    for (DegradationDetector.Sight sight : detector.sights()) {
      Series series =
          degradations.computeIfAbsent(
              sight.key(), k -> gatewayMetrics.tally().series(Metrics.FALL, k.what(), k.zone()));
      recorder.set(series.slot(0), sight.fallen() ? 1 : 0);
      recorder.set(series.slot(1), sight.falls());
      recorder.set(series.slot(2), Math.round(sight.level() * PROCESS_VALUE_SCALE));
    }
  }

  private void onTick(long at, Snapshot snapshot) {
    stampMillis = at;
    meters.show(snapshot);
    shortWindow.add(loop.now(), snapshot);
    longWindow.add(loop.now(), snapshot);
    for (DegradationDetector.Change change :
        detector.observe(loop.now(), verdicts(snapshot), attempts(snapshot))) {
      LOG.warn("{}", change.line());
      reporter.notice(change.began(), change.line());
    }
  }

  private static List<DegradationDetector.Count> verdicts(Snapshot snapshot) {
    List<DegradationDetector.Count> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(Metrics.VERDICTS)) {
        counts.add(
            new DegradationDetector.Count(
                new DegradationDetector.Key(series.labels().get(0), series.labels().get(1)),
                snapshot.values()[series.slot(0)],
                snapshot.values()[series.slot(1)]));
      }
    }
    return counts;
  }

  /**
   * Attempts by role and zone: answered ones against those that failed, were turned away or were
   * called off.
   */
  private static List<DegradationDetector.Count> attempts(Snapshot snapshot) {
    int okField = Metrics.ATTEMPTS.index("ok");
    int readField = Metrics.ATTEMPTS.index("read");
    int lastBadField = Metrics.ATTEMPTS.index("cancelled");
    List<DegradationDetector.Count> counts = new ArrayList<>();
    for (Series series : snapshot.series()) {
      if (series.family().equals(Metrics.ATTEMPTS)) {
        long bad = 0;
        for (int i = readField + 1; i <= lastBadField; i++) {
          bad += snapshot.values()[series.slot(i)];
        }
        counts.add(
            new DegradationDetector.Count(
                new DegradationDetector.Key(series.labels().get(0), series.labels().get(1)),
                snapshot.values()[series.slot(okField)] + snapshot.values()[series.slot(readField)],
                bad));
      }
    }
    return counts;
  }

  // ==== what people ask

  private void serve(HttpExchange exchange) {
    ObjectNode answer =
        switch (exchange.request().path()) {
          case "/status" -> status();
          case "/tally" -> tally(reporter.newest(), false);
          default -> null;
        };
    if (answer == null || !exchange.request().method().equals("GET")) {
      exchange.respond(
          answer == null ? 404 : 405,
          Headers.of("content-type", "text/plain; charset=utf-8"),
          "GET /status or /tally\n".getBytes(StandardCharsets.UTF_8));
    } else {
      exchange.respond(
          200,
          Headers.of("content-type", "application/json"),
          answer.toString().getBytes(StandardCharsets.UTF_8));
    }
  }

  private ObjectNode head() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("gateway", settings.name())
        .put("instance", instance)
        .put("zone", settings.zone())
        .put("stampMs", stampMillis);
  }

  private ObjectNode tally(Snapshot snapshot, boolean last) {
    ObjectNode root = head().put("final", last);
    root.set("tally", SnapshotJson.of(snapshot));
    return root;
  }

  private ObjectNode status() {
    ObjectNode root = head();
    ArrayNode classes = root.putArray("classes");
    Map<String, double[]> minute = longWindow.valueByClass();
    shortWindow
        .valueByClass()
        .forEach(
            (name, service) -> {
              double[] longer = minute.getOrDefault(name, service);
              classes
                  .addObject()
                  .put("class", name)
                  .put("asked10s", service[0])
                  .put("inTime10s", service[1])
                  .put("asked60s", longer[0])
                  .put("inTime60s", longer[1]);
            });
    ArrayNode told = root.putArray("falls");
    for (DegradationDetector.Sight s : detector.sights()) {
      if (s.fallen()) {
        told.addObject()
            .put("class", s.key().what())
            .put("zone", s.key().zone())
            .put("loss", s.loss())
            .put("requests", s.requests());
      }
    }
    ObjectNode tally = SnapshotJson.of(reporter.newest());
    for (String family : List.of("servers", "gateway", "module", "loop_lag", "report")) {
      if (tally.has(family)) {
        root.set(family, tally.get(family));
      }
    }
    return root;
  }

  // ==== the end

  /** Takes the final tally, sends what waits and closes; the future gives the tally as JSON. */
  public CompletableFuture<ObjectNode> finish() {
    CompletableFuture<ObjectNode> done = new CompletableFuture<>();
    loop.execute(
        () ->
            reporter.finish(
                Math.max(MIN_FINISH_MICROS, GatewaySettings.micros(reporting.finishMs())),
                snapshot -> {
                  if (status != null) {
                    status.stopListening();
                  }
                  ObjectNode finalTally = tally(snapshot, true);
                  if (reporting.tallyFile() == null) {
                    done.complete(finalTally);
                    return;
                  }
                  environment
                      .disk()
                      .execute(
                          () -> {
                            Path file = Path.of(reporting.tallyFile());
                            try {
                              Path next = Path.of(file + ".next");
                              Files.writeString(next, finalTally.toPrettyString() + "\n");
                              Files.move(
                                  next,
                                  file,
                                  StandardCopyOption.REPLACE_EXISTING,
                                  StandardCopyOption.ATOMIC_MOVE);
                            } catch (IOException e) {
                              LOG.warn(
                                  "the final tally cannot be" + " written to {}: {}",
                                  file,
                                  e.getMessage());
                            }
                            done.complete(finalTally);
                          });
                }));
    return done;
  }
}
