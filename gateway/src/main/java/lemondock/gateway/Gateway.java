package lemondock.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
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
import lemondock.gateway.discovery.ConsulEndpointList;
import lemondock.gateway.discovery.EndpointListCodec;
import lemondock.gateway.discovery.EndpointListSource;
import lemondock.gateway.discovery.FileEndpointList;
import lemondock.gateway.engine.CompletionChunk;
import lemondock.gateway.engine.EngineClient;
import lemondock.gateway.mcp.McpHttpHandler;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.overload.Admission;
import lemondock.overload.ResourcePressure;
import lemondock.overload.StallMonitor;
import lemondock.policy.Control;
import lemondock.policy.EndpointListKind;
import lemondock.policy.ServerLifecycle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A gateway, put together: front, ledger with the module, engines, list of servers. The way of a
 * request: {@link McpHttpHandler} reads a call, {@link CallService} makes legs of it, {@link
 * RequestDispatcher} asks the module and carries out its word through {@link EngineClient}.
 */
public final class Gateway {
  /** The program's version. */
  public static final String VERSION = "0.2.0";

  private static final Logger LOG = LoggerFactory.getLogger(Gateway.class);
  private static final long STOP_LOOK = 20_000;
  private static final long LAG_LOOK = 100_000;
  private static final long WAIT_LOOK = 10_000;
  private static final long CALM_LOOK = 40_000;
  private static final long SECOND = 1_000_000;
  private static final long REFRESH_EVERY = 10 * SECOND;

  /** Clients may not take the handles that answers need towards engines. */
  private static final double CLIENTS_HANDLES = 0.5;

  private static final int CATALOGUE_BYTES = 8 * 1024 * 1024;

  private final Loop loop;
  private final Network network;
  private final GatewaySettings settings;
  private final Executor disk;
  private final EndpointRegistry endpoints;
  private final RequestDispatcher<ObjectNode, JsonNode, CompletionChunk> dispatcher;
  private final CallService calls;
  private final McpHttpHandler mcp;
  private final HttpServer server;
  private final EndpointListSource listSource;
  private final GatewayMetrics metrics;
  private final StallMonitor stallMonitor;
  private final Admission admission;

  /** For each queue, what the process had been stopped for when it was asked last. */
  private final long[] pausedAt;

  private final ResourcePressure pressure;
  private final ProcessResources resources;
  private final Executor workers;
  private final FileSystemPort idempotencyFiles;
  private long startedAtMicros;
  private boolean stopped;

  /**
   * Makes a gateway.
   *
   * @param routerFactory makes the module; {@link #DEFAULT_ROUTER_FACTORY} but for tests of the
   *     auditor
   */
  public Gateway(
      GatewayEnvironment environment,
      GatewaySettings settings,
      PromptReader prompts,
      RouterFactory routerFactory) {
    this.loop = environment.loop();
    this.network = environment.network();
    this.disk = environment.disk();
    this.resources = environment.resources();
    this.idempotencyFiles = environment.idempotencyFiles();
    this.workers = environment.workers();
    this.settings = settings;
    this.endpoints =
        new EndpointRegistry(settings.kinds().stream().map(GatewaySettings.Kind::name).toList());
    String agent = "lemondock/" + VERSION + " (" + settings.name() + ")";
    GatewaySettings.Engines engines = settings.engines();
    final HttpClient engineClient =
        new HttpClient(
            loop,
            network,
            new HttpClient.Options(
                new HttpLimits(
                    8 * 1024, 32 * 1024, 100, Math.max(engines.maxReplyBytes(), 64L * 1024 * 1024)),
                engines.maxEventBytes(),
                engines.maxConnectionsPerServer(),
                GatewaySettings.micros(engines.connectTimeoutMs()),
                GatewaySettings.micros(engines.idleMs())));
    SecureRandom random = new SecureRandom();
    final long seed = settings.seed() != 0 ? settings.seed() : random.nextLong();
    final String incarnation = Long.toString(loop.wallMillis(), 36);
    this.listSource = createListSource(agent);
    this.metrics = new GatewayMetrics(settings);
    this.stallMonitor =
        new StallMonitor(
            LAG_LOOK,
            GatewaySettings.micros(settings.overload().stallMs()),
            GatewaySettings.micros(settings.overload().stallGraceMs()));
    int queues = 2 + settings.ioThreads();
    // the context, the workers, each shard's thread

    this.admission = new Admission(settings.overload().toAdmissionSettings(), queues);
    this.pausedAt = new long[queues];
    this.pressure = new ResourcePressure(settings.overload().toResourcePressureSettings());
    this.dispatcher =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop,
                new EngineClient(loop, engineClient, engines, agent, stallMonitor),
                endpoints,
                stallMonitor,
                metrics),
            new DispatcherOptions(
                settings.name() + "-" + incarnation,
                routerFactory,
                settings.toRouterSettings(),
                seed,
                listSource::refresh));
    this.calls = new CallService(loop, dispatcher, settings, metrics, stallMonitor);
    this.mcp =
        new McpHttpHandler(
            loop,
            settings,
            calls,
            prompts,
            () -> sessionId(random),
            this::readinessProblem,
            admission,
            VERSION);
    GatewaySettings.Front mcpSettings = settings.front();
    this.server =
        new HttpServer(
            loop,
            new HttpServer.Options(
                new HttpLimits(8 * 1024, 32 * 1024, 100, mcpSettings.maxBodyBytes()),
                (int)
                    Math.min(
                        mcpSettings.maxConnections(), resources.maxFileHandles() * CLIENTS_HANDLES),
                mcpSettings.maxBodiesBytes(),
                GatewaySettings.micros(mcpSettings.idleTimeoutMs()),
                GatewaySettings.micros(mcpSettings.requestTimeoutMs()),
                GatewaySettings.micros(mcpSettings.stallTimeoutMs()),
                settings.overload().heavyBytes(),
                environment.workers()),
            mcp);
  }

  /** The module of the project. */
  public static final RouterFactory DEFAULT_ROUTER_FACTORY = Control::new;

  private static String sessionId(SecureRandom random) {
    byte[] bytes = new byte[24];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private EndpointListSource createListSource(String agent) {
    GatewaySettings.Discovery discovery = settings.discovery();
    if (discovery.kind().equals("file")) {
      return new FileEndpointList(loop, discovery);
    }
    InetSocketAddress address = SettingsFile.resolveAddress(discovery.address());
    HttpClient client =
        new HttpClient(
            loop,
            network,
            new HttpClient.Options(
                new HttpLimits(8 * 1024, 32 * 1024, 100, CATALOGUE_BYTES),
                1024,
                4,
                GatewaySettings.micros(settings.engines().connectTimeoutMs()),
                GatewaySettings.micros(discovery.waitMs())));
    return new ConsulEndpointList(loop, client, address, discovery, agent);
  }

  /** Takes its port and begins; call it off the loop. */
  public void start() throws IOException {
    if (settings.durable() != null) {
      // first: what cannot be read must not be served over

      calls.guard(IdempotencyGuard.open(idempotencyFiles, settings.durable(), loop, disk));
    }
    List<Endpoint> cached = readCache();
    List<Network.Probe> probes = network.probes();
    server.start(network, SettingsFile.resolveAddress(settings.front().listen()));
    loop.execute(
        () -> {
          startedAtMicros = loop.now();
          watchLag(stallMonitor.ticked(loop.now()));
          watchWait();
          watchQueue(new ExecutorQueueProbe(loop, workers), 1);
          for (int i = 0; i < Math.min(probes.size(), settings.ioThreads()); i++) {
            watchQueue(probes.get(i), 2 + i);
          }
          look();
          dispatcher.start();
          mcp.start();
          applyEndpoints(cached, true);
          listSource.start(
              new EndpointListSource.Listener() {
                @Override
                public void onList(List<Endpoint> entries) {
                  applyEndpoints(entries, false);
                  writeCache();
                }

                @Override
                public void onFailure(String what) {
                  LOG.atWarn().addKeyValue("why", what).log("the list of servers cannot be had");
                  endpoints.requireFullUpdate();
                  dispatcher.updateEndpoints(EndpointListKind.FAILED, List.of());
                }
              });
        });
    LOG.atInfo()
        .addKeyValue("gateway", settings.name())
        .addKeyValue("address", server.address())
        .log("listening");
  }

  /** Ten times a second, how late the loop runs what is due. */
  private void watchLag(long due) {
    loop.schedule(
        due - loop.now(),
        () -> {
          metrics.recordLoopLag(loop.now() - due);
          watchLag(stallMonitor.ticked(loop.now()));
        });
  }

  /** Up to a hundred times a second, how long what comes to a queue waits in it. */
  private void watchQueue(Network.Probe probe, int queue) {
    long asked = resources.pausedMicros();
    long waiting =
        probe.ask(
            wait -> admission.waited(loop.now(), queue, wait - pausedSince(pausedAt[queue], wait)));
    if (waiting > 0) {
      admission.waiting(queue, waiting - pausedSince(pausedAt[queue], waiting));
    } else {
      pausedAt[queue] = asked;
    }
    loop.schedule(waitLook(), () -> watchQueue(probe, queue));
  }

  /**
   * Of a wait, the time in which nothing of the process ran. A collection of 150 ms makes all that
   * waits over it wait so long, and is over when it is over: it is no queue that grows. What piles
   * up behind it still counts, where it has to wait.
   */
  private long pausedSince(long before, long wait) {
    return Math.min(wait, resources.pausedMicros() - before);
  }

  /**
   * Looks cost little, but an idle gateway should cost nothing: seldom while all is let in and
   * nothing waits.
   */
  private long waitLook() {
    return admission.calm() ? CALM_LOOK : WAIT_LOOK;
  }

  /**
   * Up to a hundred times a second, how long a task waits for its turn behind those that have come:
   * the sign of overload.
   */
  private void watchWait() {
    long posted = loop.now();
    long asked = resources.pausedMicros();
    loop.execute(
        () -> {
          long wait = loop.now() - posted;
          admission.waited(loop.now(), 0, wait - pausedSince(asked, wait));
          loop.schedule(Math.max(0, waitLook() - wait), this::watchWait);
        });
  }

  /** Once a second, what is in hand and what the module sees. */
  private void look() {
    metrics.setInFlight(
        calls.size(),
        dispatcher.requestsInFlight(),
        mcp.sessions(),
        mcp.streamCount(),
        calls.toolsWaiting(),
        endpoints.size(),
        (loop.now() - startedAtMicros) / SECOND);
    metrics.setOverload(admission.share(), stallMonitor.stalls(), stallMonitor.stalled());
    dispatcher.recordRouterState();
    onDisk(
        () -> {
          // counting handles reads a directory

          double memory = resources.memoryUsedFraction();
          double handles = resources.fileHandlesUsedFraction();
          loop.execute(() -> press(memory, handles));
        });
    loop.schedule(SECOND, this::look);
  }

  /** What a file system that does not answer keeps waiting is left out: it comes again. */
  private void onDisk(Runnable task) {
    try {
      disk.execute(task);
    } catch (RejectedExecutionException e) {
      LOG.atWarn()
          .addKeyValue("gateway", settings.name())
          .log("too much waits for the file system");
    }
  }

  private void press(double memory, double handles) {
    final ResourcePressure.Resource before = pressure.shortest();
    pressure.saw(loop.now(), memory, handles);
    admission.pressed(loop.now(), pressure.scale());
    if (pressure.refreshes(loop.now(), REFRESH_EVERY)) {
      onDisk(resources::refreshMemory);
    }
    if (pressure.shortest() != before) {
      LOG.atWarn()
          .addKeyValue("gateway", settings.name())
          .addKeyValue("short", pressure.shortest())
          .addKeyValue("memory", memory)
          .addKeyValue("handles", handles)
          .log("what is short has changed");
    }
  }

  /** What it counts; a snapshot may be taken on any thread. */
  public GatewayMetrics metrics() {
    return metrics;
  }

  /** The address clients come to. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** What the ledger has counted; loop thread only. */
  public DispatchCounts counts() {
    return dispatcher.counts();
  }

  /** Calls under way; loop thread only. */
  public int callsInFlight() {
    return calls.size();
  }

  /** Requests that the ledger still keeps; loop thread only. */
  public int requestsInFlight() {
    return dispatcher.requestsInFlight();
  }

  /** Servers listed; loop thread only. */
  public int endpointCount() {
    return endpoints.size();
  }

  /** Sessions open; loop thread only. */
  public int sessionCount() {
    return mcp.sessions();
  }

  private void applyEndpoints(List<Endpoint> entries, boolean fromCache) {
    EndpointUpdate update = endpoints.update(entries, fromCache, loop.now(), loop.wallMillis());
    update
        .skipped()
        .forEach(
            reason ->
                LOG.atWarn()
                    .addKeyValue("why", reason)
                    .log("an entry of the list of servers was passed over"));
    if (update.kind() != EndpointListKind.CHANGES || !update.servers().isEmpty()) {
      LOG.atInfo()
          .addKeyValue("told", update.servers().size())
          .addKeyValue("listed", endpoints.size())
          .addKeyValue("kind", update.kind())
          .log("list of servers");
      dispatcher.updateEndpoints(update.kind(), update.servers());
    }
  }

  /**
   * Stops: says so to load balancers for the settings' time while all is served; then no new calls,
   * those under way may end within the limit, and what is left is cut.
   */
  public CompletableFuture<Void> stop() {
    CompletableFuture<Void> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          mcp.beginDraining();
          long notice = GatewaySettings.micros(settings.limits().stopNoticeMs());
          if (notice == 0) {
            refuseAndDrain(done);
          } else {
            loop.schedule(notice, () -> refuseAndDrain(done));
          }
        });
    return done;
  }

  private void refuseAndDrain(CompletableFuture<Void> done) {
    mcp.stopAccepting();
    server.stopListening();
    awaitCalls(loop.now() + GatewaySettings.micros(settings.limits().stopWithinMs()), done);
  }

  /** Why nothing can be served now; empty if a prompt can be read and an answer written. */
  private String readinessProblem() {
    boolean hasReader = false;
    boolean hasWriter = false;
    for (Endpoint endpoint : endpoints.endpoints()) {
      if (endpoint.lifecycle() == ServerLifecycle.READY) {
        String role =
            settings.kinds().stream()
                .filter(kind -> kind.name().equals(endpoint.kind()))
                .map(GatewaySettings.Kind::role)
                .findFirst()
                .orElse("");
        hasReader |= !role.equals("writer");
        hasWriter |= !role.equals("reader");
      }
    }
    return endpoints.size() == 0
        ? "no list of servers is known, or it is empty"
        : !hasReader
            ? "no server that reads is ready"
            : !hasWriter ? "no server that writes is ready" : "";
  }

  private void awaitCalls(long until, CompletableFuture<Void> done) {
    if (calls.size() > 0 && loop.now() < until) {
      loop.schedule(STOP_LOOK, () -> awaitCalls(until, done));
      return;
    }
    if (stopped) {
      done.complete(null);
      return;
    }
    stopped = true;
    calls.cutAll("the gateway stops");
    mcp.close();
    listSource.stop();
    loop.schedule(
        2 * STOP_LOOK,
        () -> {
          metrics.setInFlight(
              calls.size(),
              dispatcher.requestsInFlight(),
              mcp.sessions(),
              mcp.streamCount(),
              calls.toolsWaiting(),
              endpoints.size(),
              (loop.now() - startedAtMicros) / SECOND);
          LOG.atInfo().addKeyValue("gateway", settings.name()).log("stopped");
          done.complete(null);
        });
  }

  private List<Endpoint> readCache() {
    String cache = settings.discovery().cache();
    if (cache == null || !Files.exists(Path.of(cache))) {
      return List.of();
    }
    try {
      return EndpointListCodec.parseFile(Files.readAllBytes(Path.of(cache)));
    } catch (IOException | EndpointListCodec.MalformedListException e) {
      LOG.warn("the kept list of servers {} cannot be read: {}", cache, e.getMessage());
      return List.of();
    }
  }

  private void writeCache() {
    String cache = settings.discovery().cache();
    if (cache != null) {
      byte[] text = EndpointListCodec.formatFile(endpoints.endpoints());
      onDisk(
          () -> {
            try {
              Path next = Path.of(cache + ".next");
              Files.write(next, text);
              Files.move(
                  next,
                  Path.of(cache),
                  StandardCopyOption.REPLACE_EXISTING,
                  StandardCopyOption.ATOMIC_MOVE);
            } catch (IOException | UncheckedIOException e) {
              LOG.warn("the list of servers cannot be kept in {}: {}", cache, e.getMessage());
            }
          });
    }
  }
}
