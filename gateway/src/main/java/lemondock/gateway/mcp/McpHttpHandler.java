package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.text;

import java.util.Optional;
import java.util.function.Supplier;
import lemondock.gateway.answer.PromptReader;
import lemondock.gateway.core.CallService;
import lemondock.gateway.settings.GatewaySettings;
import lemondock.net.Loop;
import lemondock.net.http.Headers;
import lemondock.net.http.HttpExchange;
import lemondock.net.http.HttpRejection;
import lemondock.net.http.HttpRequest;
import lemondock.net.http.HttpService;
import lemondock.overload.Admission;

/**
 * The front end for clients: the Model Context Protocol over Streamable HTTP. It speaks the
 * protocol and keeps sessions; what becomes of a call is decided behind {@link CallService}. Loop
 * thread only, but for the methods that prepare and reject requests, which run on any thread.
 */
public final class McpHttpHandler implements HttpService {
  private static final String PATH = "/mcp";
  private static final String LIVENESS_PATH = "/healthz";
  private static final String READINESS_PATH = "/readyz";

  private final RequestPreparer preparer;
  private final DnsRebindingGuard rebindingGuard;
  private final SessionTable sessions;
  private final SessionResolver sessionResolver;
  private final PostHandler postHandler;
  private final GetHandler getHandler;
  private final Supplier<Optional<String>> readinessProblem;
  private Phase phase = Phase.SERVING;

  /** How far a graceful shutdown has come; phases follow each other in this order. */
  private enum Phase {
    SERVING,
    /** Everything is served, but load balancers are told to send no more. */
    DRAINING,
    /** New sessions and calls are rejected; calls in flight go on. */
    STOPPING
  }

  /**
   * What a front end works with.
   *
   * @param sessionIds gives ids that cannot be guessed
   * @param readinessProblem says why nothing can be served now, empty if it can
   * @param admission what is admitted at the gateway's own limit
   * @param version the gateway's version, as clients see it
   */
  public record Dependencies(
      Loop loop,
      GatewaySettings settings,
      CallService calls,
      PromptReader prompts,
      Supplier<String> sessionIds,
      Supplier<Optional<String>> readinessProblem,
      Admission admission,
      String version) {}

  /** Makes a front end without sessions. */
  public McpHttpHandler(Dependencies dependencies) {
    final Loop loop = dependencies.loop();
    final GatewaySettings settings = dependencies.settings();
    this.readinessProblem = dependencies.readinessProblem();
    this.preparer =
        new RequestPreparer(
            settings, dependencies.calls(), dependencies.prompts(), dependencies.admission());
    this.rebindingGuard = new DnsRebindingGuard(settings.front());
    this.sessions = new SessionTable(loop, settings.front(), dependencies.sessionIds());
    this.sessionResolver = new SessionResolver(sessions);
    McpContext context =
        new McpContext(
            loop,
            settings,
            dependencies.calls(),
            dependencies.prompts(),
            preparer,
            () -> phase == Phase.STOPPING);
    this.postHandler =
        new PostHandler(
            context,
            sessionResolver,
            new SessionInitializer(context, sessions, dependencies.version()));
    this.getHandler = new GetHandler(loop, settings.front(), sessionResolver);
  }

  /** Begins to end idle sessions. */
  public void start() {
    sessions.startExpiry();
  }

  /** Says to load balancers that it is about to stop; everything is served on. */
  public void beginDraining() {
    if (phase == Phase.SERVING) {
      phase = Phase.DRAINING;
    }
  }

  /** Takes no new sessions and calls from here on; those in flight go on. */
  public void stopAccepting() {
    phase = Phase.STOPPING;
  }

  /** Closes what is still open, at the end of a graceful shutdown. */
  public void close() {
    sessions.endAll("the gateway stops");
  }

  /** Number of open sessions. */
  public int sessionCount() {
    return sessions.size();
  }

  /** Open event streams of calls, those that wait for their client to reconnect among them. */
  public int streamCount() {
    return sessions.streamCount();
  }

  // On I/O threads and workers.

  @Override
  public boolean needsBodyToServe() {
    return false;
  }

  @Override
  public Object prepare(HttpRequest request) {
    return request.method().equals("POST") ? preparer.prepare(request) : null;
  }

  @Override
  public int earlyRejectionBytes() {
    return ToolNameScanner.SCAN_LIMIT_BYTES;
  }

  @Override
  public Optional<HttpRejection> rejectEarly(HttpRequest request) {
    return preparer.rejectBeforeParsing(request);
  }

  // On the loop.

  @Override
  public void serve(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    Optional<String> forbidden = rebindingGuard.rejectionReason(request);
    if (forbidden.isPresent()) {
      text(exchange, 403, forbidden.get());
      return;
    }
    switch (request.path()) {
      case LIVENESS_PATH -> respondToHealthCheck(exchange, Optional.empty());
      case READINESS_PATH -> respondToHealthCheck(exchange, notReadyReason());
      case PATH -> serveMcp(exchange);
      default -> text(exchange, 404, "there is nothing here; the service is at " + PATH);
    }
  }

  private void serveMcp(HttpExchange exchange) {
    switch (exchange.request().method()) {
      case "POST" -> postHandler.handle(exchange);
      case "GET" -> getHandler.handle(exchange);
      case "DELETE" -> sessionResolver.resolve(exchange).ifPresent(s -> delete(exchange, s));
      default -> methodNotAllowed(exchange, "POST, GET, DELETE");
    }
  }

  private void delete(HttpExchange exchange, McpSession session) {
    sessions.end(session, "the client ended the session");
    exchange.respond(204, new Headers(), HttpReplies.EMPTY_BODY);
  }

  private Optional<String> notReadyReason() {
    return phase == Phase.SERVING ? readinessProblem.get() : Optional.of("the gateway stops");
  }

  /** What a load balancer polls: 200, or 503 and why not. */
  private static void respondToHealthCheck(HttpExchange exchange, Optional<String> problem) {
    String method = exchange.request().method();
    if (method.equals("GET") || method.equals("HEAD")) {
      text(exchange, problem.isEmpty() ? 200 : 503, problem.orElse("ok"));
    } else {
      methodNotAllowed(exchange, "GET, HEAD");
    }
  }

  private static void methodNotAllowed(HttpExchange exchange, String allowed) {
    exchange.respond(405, Headers.of("allow", allowed), HttpReplies.EMPTY_BODY);
  }
}
