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
import lemondock.dispatch.RequestDispatcher;
import lemondock.dispatch.RouterFactory;
import lemondock.gateway.accounting.GatewayMetrics;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.core.IdempotencyGuard;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.engine.EngineClient;
import lemondock.gateway.mcp.McpHttpHandler;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpServer;
import lemondock.overload.StallMonitor;
import lemondock.policy.Control;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway: creates its components, connects them, and starts and stops them. The path of a
 * request: {@link McpHttpHandler} parses a call, {@link CallService} turns it into requests to
 * engines, and {@link RequestDispatcher} asks the router and carries out its decisions through
 * {@link EngineClient}.
 */
public final class Gateway {
  /** The program's version, reported to MCP clients and sent in the User-Agent header. */
  public static final String VERSION = "0.2.0";

  /** Creates the project's own router. */
  public static final RouterFactory DEFAULT_ROUTER_FACTORY = Control::new;

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long DRAIN_POLL_MICROS = 20_000;
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final int SESSION_ID_BYTES = 24;

  private final GatewayEnvironment environment;
  private final Loop loop;
  private final GatewaySettings settings;
  private final GatewayMetrics metrics;
  private final OverloadProtection overloadProtection;
  private final EndpointListFollower endpointList;
  private final RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher;
  private final CallService calls;
  private final McpHttpHandler mcp;
  private final HttpServer server;

  /** Loop thread only. */
  private long startedAtMicros;

  /** Loop thread only. */
  private boolean stopped;

  /**
   * Creates a gateway.
   *
   * @param routerFactory creates the router; {@link #DEFAULT_ROUTER_FACTORY} except in tests of the
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
    final String userAgent = "lemondock/" + VERSION + " (" + settings.name() + ")";
    final HttpClient engineClient =
        HttpComponents.engineClient(loop, environment.network(), settings.engines());
    DiskTasks disk = new DiskTasks(environment.disk(), settings.name());
    this.endpointList =
        new EndpointListFollower(
            environment,
            settings,
            disk,
            HttpComponents.endpointListSource(loop, environment.network(), settings, userAgent));
    this.metrics = new GatewayMetrics(settings);
    this.overloadProtection = new OverloadProtection(environment, settings, disk, metrics);
    StallMonitor stallMonitor = overloadProtection.stallMonitor();
    SecureRandom random = new SecureRandom();
    this.dispatcher =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop,
                new EngineClient(loop, engineClient, settings.engines(), userAgent, stallMonitor),
                endpointList.endpoints(),
                stallMonitor,
                metrics.attempts()),
            dispatcherOptions(routerFactory, random));
    this.calls = new CallService(loop, dispatcher, settings, metrics, stallMonitor);
    this.mcp = new McpHttpHandler(mcpDependencies(prompts, random));
    this.server = new HttpServer(loop, HttpComponents.serverOptions(settings, environment), mcp);
  }

  private DispatcherOptions dispatcherOptions(RouterFactory routerFactory, SecureRandom random) {
    long seed = settings.seed() != 0 ? settings.seed() : random.nextLong();
    String incarnation = Long.toString(loop.wallMillis(), 36);
    return new DispatcherOptions(
        settings.name() + "-" + incarnation,
        routerFactory,
        settings.toRouterSettings(),
        seed,
        endpointList::refresh);
  }

  private McpHttpHandler.Dependencies mcpDependencies(PromptReader prompts, SecureRandom random) {
    ReadinessCheck readiness = new ReadinessCheck(endpointList.endpoints(), settings.kinds());
    return new McpHttpHandler.Dependencies(
        loop,
        settings,
        calls,
        prompts,
        () -> sessionId(random),
        readiness::problem,
        overloadProtection.admission(),
        VERSION);
  }

  private static String sessionId(SecureRandom random) {
    byte[] bytes = new byte[SESSION_ID_BYTES];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  // Start.

  /**
   * Binds its port and begins to serve; call it off the loop.
   *
   * @throws IOException if the idempotency log cannot be read or the port cannot be bound
   */
  public void start() throws IOException {
    if (settings.durable() != null) {
      // first, because the gateway must not serve while its idempotency log cannot be read
      calls.setIdempotencyGuard(
          IdempotencyGuard.open(
              environment.idempotencyFiles(), settings.durable(), loop, environment.disk()));
    }
    List<Endpoint> cached = endpointList.readCache();
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
    overloadProtection.start(probes);
    recordMetricsEverySecond();
    dispatcher.start();
    mcp.start();
    endpointList.start(cached, dispatcher);
  }

  private void recordMetricsEverySecond() {
    recordInFlight();
    overloadProtection.recordMetrics();
    dispatcher.recordRouterState();
    overloadProtection.sampleResources();
    loop.schedule(MICROS_PER_SECOND, this::recordMetricsEverySecond);
  }

  private void recordInFlight() {
    metrics.setInFlight(
        new GatewayMetrics.InFlight(
            calls.size(),
            dispatcher.requestsInFlight(),
            mcp.sessionCount(),
            mcp.streamCount(),
            calls.pendingToolCalls(),
            endpointList.endpoints().size(),
            (loop.now() - startedAtMicros) / MICROS_PER_SECOND));
  }

  // Read by tests and commands.

  /** The metrics; a snapshot may be taken on any thread. */
  public GatewayMetrics metrics() {
    return metrics;
  }

  /** The address that clients connect to; any thread, once started. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** The dispatcher's counters; loop thread only. */
  public DispatchCounts counts() {
    return dispatcher.counts();
  }

  /** Clients' calls in flight; loop thread only. */
  public int callsInFlight() {
    return calls.size();
  }

  /** Requests that the dispatcher still tracks; loop thread only. */
  public int requestsInFlight() {
    return dispatcher.requestsInFlight();
  }

  /** Endpoints in the registry; loop thread only. */
  public int endpointCount() {
    return endpointList.endpoints().size();
  }

  /** Open sessions; loop thread only. */
  public int sessionCount() {
    return mcp.sessionCount();
  }

  // Graceful shutdown.

  /**
   * Shuts down gracefully: fails readiness checks for the settings' notice time while requests are
   * still served; then admits no new calls, waits for those in flight up to the time limit, and
   * cancels the rest. Any thread; the future completes on the loop.
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
    endpointList.stop();
    loop.schedule(
        2 * DRAIN_POLL_MICROS,
        () -> {
          recordInFlight();
          LOG.atInfo().addKeyValue("gateway", settings.name()).log("stopped");
          done.complete(null);
        });
  }
}
