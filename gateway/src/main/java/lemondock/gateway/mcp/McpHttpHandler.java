package lemondock.gateway.mcp;

import static lemondock.gateway.mcp.HttpReplies.sendText;

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
 * The front end for clients: the Model Context Protocol over Streamable HTTP. It implements the
 * protocol and the sessions; {@link CallService} runs the calls. Loop thread only, except for the
 * methods that prepare and reject requests, which any thread may call.
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

  /** Phases of a graceful shutdown, in order. */
  private enum Phase {
    SERVING,
    /** All requests are still served, but the readiness check fails. */
    DRAINING,
    /** New sessions and calls are rejected; calls in flight continue. */
    STOPPING
  }

  /**
   * Dependencies of the front end.
   *
   * @param sessionIdGenerator generates session ids that cannot be guessed
   * @param readinessProblem returns why nothing can be served now, empty if the gateway is ready
   * @param admission decides which requests to admit while the gateway itself is overloaded
   * @param version the gateway's version, reported to clients
   */
  public record Dependencies(
      Loop loop,
      GatewaySettings settings,
      CallService calls,
      PromptReader prompts,
      Supplier<String> sessionIdGenerator,
      Supplier<Optional<String>> readinessProblem,
      Admission admission,
      String version) {}

  /** Creates a front end without sessions. */
  public McpHttpHandler(Dependencies dependencies) {
    final Loop loop = dependencies.loop();
    final GatewaySettings settings = dependencies.settings();
    this.readinessProblem = dependencies.readinessProblem();
    this.preparer =
        new RequestPreparer(
            settings, dependencies.calls(), dependencies.prompts(), dependencies.admission());
    this.rebindingGuard = new DnsRebindingGuard(settings.front());
    this.sessions = new SessionTable(loop, settings.front(), dependencies.sessionIdGenerator());
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

  /** Starts the periodic expiry of idle sessions. */
  public void start() {
    sessions.startExpiry();
  }

  /**
   * Fails the readiness check, so that load balancers stop sending requests; those that arrive are
   * still served.
   */
  public void beginDraining() {
    if (phase == Phase.SERVING) {
      phase = Phase.DRAINING;
    }
  }

  /** Rejects new sessions and calls from now on; calls in flight continue. */
  public void stopAccepting() {
    phase = Phase.STOPPING;
  }

  /** Ends all sessions, at the end of a graceful shutdown. */
  public void close() {
    sessions.endAll("the gateway stops");
  }

  /** Returns the number of open sessions. */
  public int sessionCount() {
    return sessions.size();
  }

  /** Returns the number of open event streams of calls, disconnected ones included. */
  public int streamCount() {
    return sessions.streamCount();
  }

  // Called on I/O threads and workers.

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

  // Called on the loop thread.

  @Override
  public void serve(HttpExchange exchange) {
    HttpRequest request = exchange.request();
    Optional<String> forbidden = rebindingGuard.rejectionReason(request);
    if (forbidden.isPresent()) {
      sendText(exchange, 403, forbidden.get());
      return;
    }
    switch (request.path()) {
      case LIVENESS_PATH -> respondToHealthCheck(exchange, Optional.empty());
      case READINESS_PATH -> respondToHealthCheck(exchange, notReadyReason());
      case PATH -> serveMcp(exchange);
      default -> sendText(exchange, 404, "there is nothing here; the service is at " + PATH);
    }
  }

  private void serveMcp(HttpExchange exchange) {
    switch (exchange.request().method()) {
      case "POST" -> postHandler.handle(exchange);
      case "GET" -> getHandler.handle(exchange);
      case "DELETE" ->
          sessionResolver.resolve(exchange).ifPresent(session -> delete(exchange, session));
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

  /** Responds to the polls of load balancers: 200, or 503 with the reason. */
  private static void respondToHealthCheck(HttpExchange exchange, Optional<String> problem) {
    String method = exchange.request().method();
    if (method.equals("GET") || method.equals("HEAD")) {
      sendText(exchange, problem.isEmpty() ? 200 : 503, problem.orElse("ok"));
    } else {
      methodNotAllowed(exchange, "GET, HEAD");
    }
  }

  private static void methodNotAllowed(HttpExchange exchange, String allowed) {
    exchange.respond(405, Headers.of("allow", allowed), HttpReplies.EMPTY_BODY);
  }
}
