package lemondock.emulator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.SplittableRandom;
import lemondock.net.Loop;
import lemondock.net.Network;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpLimits;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpServer;
import lemondock.net.http.HttpServerOptions;
import lemondock.net.http.HttpService;

/**
 * Emulates a model server. It serves prefills and answers through the OpenAI-compatible API with
 * {@code kv_transfer_params}, has slots, a queue, memory, a prefix cache, a warm-up and faults, and
 * reports its traffic to a {@link TrafficObserver}. It does not model an engine's internals.
 * Emulators transfer states to one another with a separate HTTP call of their own.
 *
 * <p>Loop thread only, unless a method says otherwise.
 */
public final class EngineEmulator implements HttpService {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final long MICROS_PER_SECOND = 1_000_000;
  private static final long RAW_RESPONSE_ABORT_DELAY_MICROS = 5_000;
  private static final byte[] EMPTY = new byte[0];

  private final EngineSettings settings;
  private final EngineFaults faults = new EngineFaults();
  private final EngineMemory memory;
  private final EngineContext context;
  private final HttpServer server;

  /**
   * Creates an engine that serves once {@link #start} is called.
   *
   * @param seed seed of the random choice of the requests that a fault affects
   */
  public EngineEmulator(
      Loop loop, Network network, EngineSettings settings, long seed, TrafficObserver observer) {
    this.settings = settings;
    this.memory = new EngineMemory(settings.memoryTokens());
    this.server = new HttpServer(loop, serverOptions(), this);
    TrafficRecorder traffic = new TrafficRecorder(loop, settings.name(), observer);
    this.context =
        new EngineContext(
            loop,
            settings,
            faults,
            new SplittableRandom(seed),
            traffic,
            new EngineClock(loop, settings, faults),
            new RequestScheduler(settings, memory),
            new PrefixCache(),
            new ReservedStates(loop, traffic, memory),
            new StateFetcher(loop, network),
            server::address);
  }

  private static HttpServerOptions serverOptions() {
    return HttpServerOptions.builder()
        .limits(new HttpLimits(8 * 1024, 32 * 1024, 100, 64L * 1024 * 1024))
        .maxConnections(20_000)
        .maxBufferedBodyBytes(512L * 1024 * 1024)
        .idleTimeoutMicros(60 * MICROS_PER_SECOND)
        .requestTimeoutMicros(10 * MICROS_PER_SECOND)
        .stallTimeoutMicros(60 * MICROS_PER_SECOND)
        .build();
  }

  /** Starts to listen and begins the warm-up. May be called by any thread. */
  public void start(Network network) throws IOException {
    int colon = settings.listen().lastIndexOf(':');
    String host = settings.listen().substring(0, colon);
    int port = Integer.parseInt(settings.listen().substring(colon + 1));
    server.start(network, new InetSocketAddress(host, port));
    context.clock().start();
    context
        .traffic()
        .record(
            TrafficEvent.Kind.STARTED,
            TrafficSource.NONE,
            Math.round(settings.warmUpMs()),
            settings.role());
  }

  /** The address that the engine listens on; any thread. */
  public InetSocketAddress address() {
    return server.address();
  }

  /** The faults that the engine injects; the caller may change them. */
  public EngineFaults faults() {
    return faults;
  }

  /** The engine's settings; any thread. */
  public EngineSettings settings() {
    return settings;
  }

  /** Describes the requests, reserved states and used tokens, for the messages of tests. */
  public String describeLoad() {
    return runningRequests()
        + " running, "
        + context.scheduler().queued()
        + " queued, "
        + reservedStates()
        + " reserved states, "
        + memory.usedTokens()
        + " tokens";
  }

  /** The number of states that are reserved for a writer. */
  public int reservedStates() {
    return context.states().count();
  }

  /** The number of requests that have a slot. */
  public int runningRequests() {
    return context.scheduler().running();
  }

  /**
   * The number of tokens sent for the request with this mark; empty if there is no such request.
   */
  public Optional<Integer> tokensSent(String mark) {
    return context.scheduler().findByMark(mark).map(EngineJob::tokensSent);
  }

  /** Empties the prefix cache. */
  public void clearPrefixCache() {
    context.prefixCache().clear();
  }

  /** Marks the engine's process as dead. The caller has to break its connections. */
  public void markDead() {
    context.clock().markDead();
    context.traffic().record(TrafficEvent.Kind.DIED, TrafficSource.NONE, 0, "");
  }

  /** Parses the body as JSON; returns a missing node if it is not valid JSON. */
  @Override
  public Object prepare(HttpRequest request) {
    try {
      return MAPPER.readTree(request.body());
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  @Override
  public void serve(HttpExchange exchange) {
    if (context.clock().isDead()) {
      exchange.abort();
      return;
    }
    JsonNode body = (JsonNode) exchange.prepared();
    String path = exchange.request().path();
    if (path.equals("/health")) {
      exchange.respond(200, new Headers(), EMPTY);
    } else if (!body.isObject()) {
      EngineMessages.respondWithError(exchange, 400, "bad_request", "the body is no JSON object");
    } else if (path.equals("/v1/chat/completions")) {
      serveCompletion(exchange, body);
    } else if (path.equals("/abort_request")) {
      serveAbort(exchange, body);
    } else if (path.equals(StateFetcher.PATH)) {
      serveStateFetch(exchange, body);
    } else {
      EngineMessages.respondWithError(exchange, 404, "not_found", "there is nothing at " + path);
    }
  }

  private void serveCompletion(HttpExchange exchange, JsonNode body) {
    EngineRequest request = new EngineRequest(exchange.request(), body);
    EngineJob job = new EngineJob(context, request, exchange);
    job.record(
        request.isPrefill() ? TrafficEvent.Kind.PREFILL : TrafficEvent.Kind.DECODE,
        request.promptTokens(),
        Integer.toString(request.messages().size()));
    exchange.onDisconnect(job::onDisconnect);
    boolean isWriter = settings.role().equals("writer");
    if (faults.rawResponse != null && faults.takeHit()) {
      sendRawResponse(job);
    } else if (faults.silent) {
      context.scheduler().track(job); // never submitted, so it gets no response
    } else if (isWriter && request.isPrefill()) {
      EngineMessages.respondWithError(exchange, 400, "bad_request", "this server reads no prompts");
    } else if (isWriter && !request.hasRemoteState()) {
      job.reject("kv_state_missing", "this server reads no prompts");
    } else if (faults.rejectsAll || !context.scheduler().canAccept(request.promptTokens())) {
      job.reject("overloaded", "no room");
    } else {
      context.scheduler().submit(job);
    }
  }

  private void sendRawResponse(EngineJob job) {
    HttpExchange exchange = job.exchange();
    job.record(TrafficEvent.Kind.CONNECTION_LOST, 0, "raw");
    exchange.begin(200, Headers.of("content-type", "text/event-stream"));
    exchange.send(faults.rawResponse);
    context.loop().schedule(RAW_RESPONSE_ABORT_DELAY_MICROS, exchange::abort);
  }

  private void serveAbort(HttpExchange exchange, JsonNode body) {
    String requestId = body.path("rid").asText("");
    TrafficSource source = new TrafficSource(requestId, "", "");
    context.traffic().record(TrafficEvent.Kind.ABORT, source, 0, "");
    context.states().release(requestId, "abort");
    Optional<EngineJob> job = context.scheduler().find(requestId);
    if (job.isPresent()) {
      job.get().abort();
    } else {
      context.states().rememberAborted(requestId);
    }
    exchange.respond(200, new Headers(), EMPTY);
  }

  private void serveStateFetch(HttpExchange exchange, JsonNode body) {
    if (context.states().fetch(body.path("request_id").asText(""))) {
      exchange.respond(200, new Headers(), EMPTY);
    } else {
      EngineMessages.respondWithError(exchange, 404, "not_found", "no state of that name");
    }
  }
}
