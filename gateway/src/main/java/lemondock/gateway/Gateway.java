package lemondock.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import lemondock.dispatch.DispatchCounts;
import lemondock.dispatch.DispatcherEnvironment;
import lemondock.dispatch.DispatcherOptions;
import lemondock.dispatch.Endpoint;
import lemondock.dispatch.EndpointRegistry;
import lemondock.dispatch.EndpointUpdate;
import lemondock.dispatch.RequestDispatcher;
import lemondock.dispatch.RouterFactory;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.core.IdempotencyGuard;
import lemondock.gateway.discovery.EndpointListCodec;
import lemondock.gateway.discovery.EndpointListSource;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.engine.EngineClient;
import lemondock.gateway.mcp.McpHttpHandler;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpServer;
import lemondock.overload.Admission;
import lemondock.overload.ResourcePressure;
import lemondock.overload.StallMonitor;
import lemondock.policy.Control;
import lemondock.policy.EndpointListKind;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway: makes its components, connects them and starts and stops them. The way of a request:
 * {@link McpHttpHandler} reads a call, {@link CallService} makes requests to engines of it, {@link
 * RequestDispatcher} asks the router and carries out its decisions through {@link EngineClient}.
 */
public final class Gateway {
  /** The program's version. */
  public static final String VERSION = "0.2.0";

  /** Makes the project's own router. */
  public static final RouterFactory DEFAULT_ROUTER_FACTORY = Control::new;

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long DRAIN_POLL_MICROS = 20_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int SESSION_ID_BYTES = 24;

  private final GatewayEnvironment environment;
  private final Loop loop;
  private final GatewaySettings settings;
  private final DiskTasks disk;
  private final EndpointRegistry endpoints;
  private final EndpointListSource endpointListSource;
  private final EndpointListCache endpointListCache;
  private final RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher;
  private final CallService calls;
  private final McpHttpHandler mcp;
  private final HttpServer server;
  private final GatewayMetrics metrics;
  private final StallMonitor stallMonitor;
  private final Admission admission;
  private final QueueDelayMonitor queueDelays;
  private final ResourcePressureMonitor resourcePressure;

  /** Loop thread only. */
  private long startedAtMicros;

  /** Loop thread only. */
  private boolean stopped;

  /**
   * Makes a gateway.
   *
   * @param routerFactory makes the router; {@link #DEFAULT_ROUTER_FACTORY} but for tests of the
   *     invariant checker
   */
  public Gateway(
      GatewayEnvironment environment,
      GatewaySettings settings,
      PromptReader prompts,
      RouterFactory routerFactory) {
    this.environment = environment;
    this.loop = environment.loop();
    this.settings = settings;
    this.disk = new DiskTasks(environment.disk(), settings.name());
    this.endpoints =
        new EndpointRegistry(settings.kinds().stream().map(GatewaySettings.Kind::name).toList());
    String userAgent = "lemondock/" + VERSION + " (" + settings.name() + ")";
    final HttpClient engineClient =
        HttpComponents.engineClient(loop, environment.network(), settings.engines());
    SecureRandom random = new SecureRandom();
    final long seed = settings.seed() != 0 ? settings.seed() : random.nextLong();
    final String incarnation = Long.toString(loop.wallMillis(), 36);
    this.endpointListSource =
        HttpComponents.endpointListSource(loop, environment.network(), settings, userAgent);
    this.endpointListCache = new EndpointListCache(settings.discovery().cache());
    this.metrics = new GatewayMetrics(settings);
    this.stallMonitor = stallMonitor(settings.overload());
    this.admission =
        new Admission(
            settings.overload().toAdmissionSettings(),
            QueueDelayMonitor.queueCount(settings.ioThreads()));
    this.queueDelays =
        new QueueDelayMonitor(environment, settings.ioThreads(), admission, stallMonitor, metrics);
    this.resourcePressure =
        new ResourcePressureMonitor(
            environment,
            disk,
            new ResourcePressure(settings.overload().toResourcePressureSettings()),
            admission,
            settings.name());
    this.dispatcher =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop,
                new EngineClient(loop, engineClient, settings.engines(), userAgent, stallMonitor),
                endpoints,
                stallMonitor,
                metrics),
            new DispatcherOptions(
                settings.name() + "-" + incarnation,
                routerFactory,
                settings.toRouterSettings(),
                seed,
                endpointListSource::refresh));
    this.calls = new CallService(loop, dispatcher, settings, metrics, stallMonitor);
    this.mcp =
        new McpHttpHandler(
            loop,
            settings,
            calls,
            prompts,
            () -> sessionId(random),
            new ReadinessCheck(endpoints, settings.kinds())::problem,
            admission,
            VERSION);
    this.server = new HttpServer(loop, HttpComponents.serverOptions(settings, environment), mcp);
  }

  private static StallMonitor stallMonitor(GatewaySettings.Overload settings) {
    return new StallMonitor(
        QueueDelayMonitor.STALL_TICK_MICROS,
        GatewaySettings.micros(settings.stallMs()),
        GatewaySettings.micros(settings.stallGraceMs()));
  }

  private static String sessionId(SecureRandom random) {
    byte[] bytes = new byte[SESSION_ID_BYTES];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  // ==== start

  /**
   * Takes its port and begins to serve; call it off the loop.
   *
   * @throws IOException if the idempotency log cannot be read or the port cannot be taken
   */
  public void start() throws IOException {
    if (settings.durable() != null) {
      // first: a log that cannot be read must not be served over
      calls.setIdempotencyGuard(
          IdempotencyGuard.open(
              environment.idempotencyFiles(), settings.durable(), loop, environment.disk()));
    }
    List<Endpoint> cached = endpointListCache.read();
    List<DelayProbe> probes = environment.network().delayProbes();
    server.start(environment.network(), SettingsFile.resolveAddress(settings.front().listen()));
    loop.execute(() -> startOnLoop(cached, probes));
    LOG.atInfo()
        .addKeyValue("gateway", settings.name())
        .addKeyValue("address", server.address())
        .log("listening");
  }

  private void startOnLoop(List<Endpoint> cached, List<DelayProbe> probes) {
    startedAtMicros = loop.now();
    queueDelays.start(environment.workers(), probes);
    recordMetricsEverySecond();
    dispatcher.start();
    mcp.start();
    applyEndpoints(cached, true);
    endpointListSource.start(new EndpointListListener());
  }

  private final class EndpointListListener implements EndpointListSource.Listener {
    @Override
    public void onList(List<Endpoint> listed) {
      applyEndpoints(listed, false);
      if (endpointListCache.enabled()) {
        byte[] content = EndpointListCodec.formatFile(endpoints.endpoints());
        disk.runOrDrop(() -> endpointListCache.write(content));
      }
    }

    @Override
    public void onFailure(String reason) {
      LOG.atWarn().addKeyValue("why", reason).log("the endpoint list cannot be fetched");
      endpoints.requireFullUpdate();
      dispatcher.updateEndpoints(EndpointListKind.FAILED, List.of());
    }
  }

  private void applyEndpoints(List<Endpoint> listed, boolean fromCache) {
    EndpointUpdate update = endpoints.update(listed, fromCache, loop.now(), loop.wallMillis());
    for (String reason : update.skipped()) {
      LOG.atWarn().addKeyValue("why", reason).log("an entry of the endpoint list was skipped");
    }
    if (update.kind() != EndpointListKind.CHANGES || !update.servers().isEmpty()) {
      LOG.atInfo()
          .addKeyValue("changed", update.servers().size())
          .addKeyValue("listed", endpoints.size())
          .addKeyValue("kind", update.kind())
          .log("endpoint list");
      dispatcher.updateEndpoints(update.kind(), update.servers());
    }
  }

  private void recordMetricsEverySecond() {
    recordInFlight();
    metrics.setOverload(
        admission.admittedShare(), stallMonitor.stallCount(), stallMonitor.totalStallMicros());
    dispatcher.recordRouterState();
    resourcePressure.sample();
    loop.schedule(MICROS_PER_SECOND, this::recordMetricsEverySecond);
  }

  private void recordInFlight() {
    metrics.setInFlight(
        new GatewayMetrics.InFlight(
            calls.size(),
            dispatcher.requestsInFlight(),
            mcp.sessions(),
            mcp.streamCount(),
            calls.pendingToolCalls(),
            endpoints.size(),
            (loop.now() - startedAtMicros) / MICROS_PER_SECOND));
  }

  // ==== what tests and commands read

  /** The metrics; a snapshot may be taken on any thread. */
  public GatewayMetrics metrics() {
    return metrics;
  }

  /** The address that clients connect to; any thread, once started. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** What the dispatcher has counted; loop thread only. */
  public DispatchCounts counts() {
    return dispatcher.counts();
  }

  /** Clients' calls in flight; loop thread only. */
  public int callsInFlight() {
    return calls.size();
  }

  /** Requests that the dispatcher still keeps; loop thread only. */
  public int requestsInFlight() {
    return dispatcher.requestsInFlight();
  }

  /** Endpoints listed; loop thread only. */
  public int endpointCount() {
    return endpoints.size();
  }

  /** Open sessions; loop thread only. */
  public int sessionCount() {
    return mcp.sessions();
  }

  // ==== graceful shutdown

  /**
   * Shuts down gracefully: fails readiness checks for the settings' notice time while all is
   * served; then admits no new calls, lets those in flight end within the limit, and cancels what
   * is left. Any thread; the future completes on the loop.
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          mcp.beginDraining();
          long noticeMicros = GatewaySettings.micros(settings.limits().stopNoticeMs());
          if (noticeMicros == 0) {
            stopAccepting(done);
          } else {
            loop.schedule(noticeMicros, () -> stopAccepting(done));
          }
        });
    return done;
  }

  private void stopAccepting(CompletableFuture<Void> done) {
    mcp.stopAccepting();
    server.stopListening();
    awaitCalls(loop.now() + GatewaySettings.micros(settings.limits().stopWithinMs()), done);
  }

  private void awaitCalls(long deadlineMicros, CompletableFuture<Void> done) {
    if (calls.size() > 0 && loop.now() < deadlineMicros) {
      loop.schedule(DRAIN_POLL_MICROS, () -> awaitCalls(deadlineMicros, done));
      return;
    }
    if (stopped) {
      done.complete(null);
      return;
    }
    stopped = true;
    calls.interruptAll("the gateway stops");
    mcp.close();
    endpointListSource.stop();
    loop.schedule(
        2 * DRAIN_POLL_MICROS,
        () -> {
          recordInFlight();
          LOG.atInfo().addKeyValue("gateway", settings.name()).log("stopped");
          done.complete(null);
        });
  }
}
