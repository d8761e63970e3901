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
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.core.IdempotencyGuard;
import lemondock.gateway.count.GatewayTally;
import lemondock.gateway.discovery.ConsulList;
import lemondock.gateway.discovery.FileList;
import lemondock.gateway.discovery.Listing;
import lemondock.gateway.discovery.ServerList;
import lemondock.gateway.engine.Chunk;
import lemondock.gateway.engine.EngineClient;
import lemondock.gateway.front.McpFront;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.gateway.settings.SettingsFile;
import lemondock.idempotency.FileSystemPort;
import lemondock.net.DelayProbe;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.HttpClient;
import lemondock.net.http.HttpClientOptions;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
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
 * request: {@link McpFront} reads a call, {@link CallService} makes legs of it, {@link
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
  private final EndpointRegistry members;
  private final RequestDispatcher<ObjectNode, JsonNode, Chunk> ledger;
  private final CallService calls;
  private final McpFront front;
  private final HttpServer server;
  private final ServerList list;
  private final GatewayTally tally;
  private final StallMonitor lateness;
  private final Admission admission;

  /** For each queue, what the process had been stopped for when it was asked last. */
  private final long[] pausedAt;

  private final ResourcePressure pressure;
  private final Machine machine;
  private final Executor workers;
  private final FileSystemPort durable;
  private long startedAt;
  private boolean stopped;

  /**
   * Makes a gateway.
   *
   * @param maker makes the module; {@link #MODULE} but for tests of the auditor
   */
  public Gateway(Host host, GatewaySettings settings, PromptReader prompts, RouterFactory maker) {
    this.loop = host.loop();
    this.network = host.network();
    this.disk = host.disk();
    this.machine = host.machine();
    this.durable = host.durable();
    this.workers = host.workers();
    this.settings = settings;
    this.members =
        new EndpointRegistry(settings.kinds().stream().map(GatewaySettings.Kind::name).toList());
    String agent = "lemondock/" + VERSION + " (" + settings.name() + ")";
    GatewaySettings.Engines engines = settings.engines();
    final HttpClient engineClient =
        new HttpClient(
            loop,
            network,
            new HttpClientOptions(
                new HttpLimits(
                    8 * 1024, 32 * 1024, 100, Math.max(engines.maxReplyBytes(), 64L * 1024 * 1024)),
                engines.maxEventBytes(),
                engines.maxConnectionsPerServer(),
                GatewaySettings.micros(engines.connectTimeoutMs()),
                GatewaySettings.micros(engines.idleMs())));
    SecureRandom random = new SecureRandom();
    final long seed = settings.seed() != 0 ? settings.seed() : random.nextLong();
    final String life = Long.toString(loop.wallMillis(), 36);
    this.list = list(agent);
    this.tally = new GatewayTally(settings);
    this.lateness =
        new StallMonitor(
            LAG_LOOK,
            GatewaySettings.micros(settings.overload().stallMs()),
            GatewaySettings.micros(settings.overload().stallGraceMs()));
    int queues = 2 + settings.ioThreads(); // the context, the workers, each shard's thread
    this.admission = new Admission(settings.overload().toAdmission(), queues);
    this.pausedAt = new long[queues];
    this.pressure = new ResourcePressure(settings.overload().toPressure());
    this.ledger =
        new RequestDispatcher<>(
            new DispatcherEnvironment<>(
                loop,
                new EngineClient(loop, engineClient, engines, agent, lateness),
                members,
                lateness,
                tally),
            new DispatcherOptions(
                settings.name() + "-" + life, maker, settings.toModule(), seed, list::watch));
    this.calls = new CallService(loop, ledger, settings, tally, lateness);
    this.front =
        new McpFront(
            loop,
            settings,
            calls,
            prompts,
            () -> sessionId(random),
            this::notReady,
            admission,
            VERSION);
    GatewaySettings.Front f = settings.front();
    this.server =
        new HttpServer(
            loop,
            new HttpServerOptions(
                new HttpLimits(8 * 1024, 32 * 1024, 100, f.maxBodyBytes()),
                (int) Math.min(f.maxConnections(), machine.mostHandles() * CLIENTS_HANDLES),
                f.maxBodiesBytes(),
                GatewaySettings.micros(f.idleTimeoutMs()),
                GatewaySettings.micros(f.requestTimeoutMs()),
                GatewaySettings.micros(f.stallTimeoutMs()),
                settings.overload().heavyBytes(),
                host.workers()),
            front);
  }

  /** The module of the project. */
  public static final RouterFactory MODULE = Control::new;

  private static String sessionId(SecureRandom random) {
    byte[] bytes = new byte[24];
    random.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  private ServerList list(String agent) {
    GatewaySettings.Discovery d = settings.discovery();
    if (d.kind().equals("file")) {
      return new FileList(loop, d);
    }
    InetSocketAddress address = SettingsFile.address(d.address());
    HttpClient client =
        new HttpClient(
            loop,
            network,
            new HttpClientOptions(
                new HttpLimits(8 * 1024, 32 * 1024, 100, CATALOGUE_BYTES),
                1024,
                4,
                GatewaySettings.micros(settings.engines().connectTimeoutMs()),
                GatewaySettings.micros(d.waitMs())));
    return new ConsulList(loop, client, address, d, agent);
  }

  /** Takes its port and begins; call it off the loop. */
  public void start() throws IOException {
    if (settings.durable() != null) { // first: what cannot be read must not be served over
      calls.guard(IdempotencyGuard.open(durable, settings.durable(), loop, disk));
    }
    List<Endpoint> cached = readCache();
    List<DelayProbe> probes = network.delayProbes();
    server.start(network, SettingsFile.address(settings.front().listen()));
    loop.execute(
        () -> {
          startedAt = loop.now();
          watchLag(lateness.onTick(loop.now()));
          watchWait();
          watchQueue(new WorkersProbe(loop, workers), 1);
          for (int i = 0; i < Math.min(probes.size(), settings.ioThreads()); i++) {
            watchQueue(probes.get(i), 2 + i);
          }
          look();
          ledger.start();
          front.start();
          hear(cached, true);
          list.start(
              new ServerList.Sink() {
                @Override
                public void whole(List<Endpoint> entries) {
                  hear(entries, false);
                  writeCache();
                }

                @Override
                public void failed(String what) {
                  LOG.atWarn().addKeyValue("why", what).log("the list of servers cannot be had");
                  members.requireFullUpdate();
                  ledger.updateEndpoints(EndpointListKind.FAILED, List.of());
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
          tally.lag(loop.now() - due);
          watchLag(lateness.onTick(loop.now()));
        });
  }

  /** Up to a hundred times a second, how long what comes to a queue waits in it. */
  private void watchQueue(DelayProbe probe, int queue) {
    long asked = machine.paused();
    long waiting =
        probe.measure(
            wait ->
                admission.recordDelay(
                    loop.now(), queue, wait - pausedSince(pausedAt[queue], wait)));
    if (waiting > 0) {
      admission.recordOngoingDelay(queue, waiting - pausedSince(pausedAt[queue], waiting));
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
    return Math.min(wait, machine.paused() - before);
  }

  /**
   * Looks cost little, but an idle gateway should cost nothing: seldom while all is let in and
   * nothing waits.
   */
  private long waitLook() {
    return admission.isRelaxed() ? CALM_LOOK : WAIT_LOOK;
  }

  /**
   * Up to a hundred times a second, how long a task waits for its turn behind those that have come:
   * the sign of overload.
   */
  private void watchWait() {
    long posted = loop.now();
    long asked = machine.paused();
    loop.execute(
        () -> {
          long wait = loop.now() - posted;
          admission.recordDelay(loop.now(), 0, wait - pausedSince(asked, wait));
          loop.schedule(Math.max(0, waitLook() - wait), this::watchWait);
        });
  }

  /** Once a second, what is in hand and what the module sees. */
  private void look() {
    tally.inHand(
        calls.size(),
        ledger.requestsInFlight(),
        front.sessions(),
        front.streams(),
        calls.toolsWaiting(),
        members.size(),
        (loop.now() - startedAt) / SECOND);
    tally.limit(admission.admittedShare(), lateness.stallCount(), lateness.totalStallMicros());
    ledger.recordRouterState();
    onDisk(
        () -> { // counting handles reads a directory
          double memory = machine.memory();
          double handles = machine.handles();
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
    final ResourcePressure.Resource before = pressure.scarcest();
    pressure.update(loop.now(), memory, handles);
    admission.limitByResources(loop.now(), pressure.admittedShare());
    if (pressure.takeMemoryRefresh(loop.now(), REFRESH_EVERY)) {
      onDisk(machine::refreshMemory);
    }
    if (pressure.scarcest() != before) {
      LOG.atWarn()
          .addKeyValue("gateway", settings.name())
          .addKeyValue("short", pressure.scarcest())
          .addKeyValue("memory", memory)
          .addKeyValue("handles", handles)
          .log("what is short has changed");
    }
  }

  /** What it counts; a snapshot may be taken on any thread. */
  public GatewayTally tally() {
    return tally;
  }

  /** The address clients come to. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** What the ledger has counted; loop thread only. */
  public DispatchCounts counts() {
    return ledger.counts();
  }

  /** Calls under way; loop thread only. */
  public int callsUnderWay() {
    return calls.size();
  }

  /** Requests that the ledger still keeps; loop thread only. */
  public int legsUnderWay() {
    return ledger.requestsInFlight();
  }

  /** Servers listed; loop thread only. */
  public int servers() {
    return members.size();
  }

  /** Sessions open; loop thread only. */
  public int sessions() {
    return front.sessions();
  }

  private void hear(List<Endpoint> entries, boolean cached) {
    EndpointUpdate news = members.update(entries, cached, loop.now(), loop.wallMillis());
    news.skipped()
        .forEach(
            s ->
                LOG.atWarn()
                    .addKeyValue("why", s)
                    .log("an entry of the list of servers was passed over"));
    if (news.kind() != EndpointListKind.CHANGES || !news.servers().isEmpty()) {
      LOG.atInfo()
          .addKeyValue("told", news.servers().size())
          .addKeyValue("listed", members.size())
          .addKeyValue("kind", news.kind())
          .log("list of servers");
      ledger.updateEndpoints(news.kind(), news.servers());
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
          front.leave();
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
    front.stop();
    server.stopListening();
    awaitCalls(loop.now() + GatewaySettings.micros(settings.limits().stopWithinMs()), done);
  }

  /** Why nothing can be served now; empty if a prompt can be read and an answer written. */
  private String notReady() {
    boolean reads = false;
    boolean writes = false;
    for (Endpoint entry : members.endpoints()) {
      if (entry.lifecycle() == ServerLifecycle.READY) {
        String role =
            settings.kinds().stream()
                .filter(k -> k.name().equals(entry.kind()))
                .map(GatewaySettings.Kind::role)
                .findFirst()
                .orElse("");
        reads |= !role.equals("writer");
        writes |= !role.equals("reader");
      }
    }
    return members.size() == 0
        ? "no list of servers is known, or it is empty"
        : !reads
            ? "no server that reads is ready"
            : !writes ? "no server that writes is ready" : "";
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
    front.close();
    list.stop();
    loop.schedule(
        2 * STOP_LOOK,
        () -> {
          tally.inHand(
              calls.size(),
              ledger.requestsInFlight(),
              front.sessions(),
              front.streams(),
              calls.toolsWaiting(),
              members.size(),
              (loop.now() - startedAt) / SECOND);
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
      return Listing.ofFile(Files.readAllBytes(Path.of(cache)));
    } catch (IOException | Listing.Unreadable e) {
      LOG.warn("the kept list of servers {} cannot be read: {}", cache, e.getMessage());
      return List.of();
    }
  }

  private void writeCache() {
    String cache = settings.discovery().cache();
    if (cache != null) {
      byte[] text = Listing.toFile(members.endpoints());
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
