package lemondock.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.function.BiConsumer;
import lemondock.net.Loop;
import lemondock.overload.StallMonitor;
import lemondock.policy.DecisionReason;
import lemondock.policy.EndpointListKind;
import lemondock.policy.RequestRouter;
import lemondock.policy.RouterHost;
import lemondock.policy.RouterStateVisitor;
import lemondock.policy.RoutingRequest;
import lemondock.policy.ServerEntry;
import lemondock.policy.SilenceLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the requests in flight: reports events to the router and carries out its decisions, but
 * makes no decisions itself. It fulfils the contract of {@link RequestRouter}: one outcome for each
 * attempt, events in the order of one clock, no nested events. Loop thread only.
 *
 * @param <P> the prompt that is sent to an engine
 * @param <S> a reserved state as the engines' protocol represents it
 * @param <C> an event of the output stream
 */
public final class RequestDispatcher<P, S, C extends StreamChunk> {
  private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

  private final Loop loop;
  private final AttemptMetrics metrics;
  private final StallMonitor stallMonitor;
  private final EndpointRegistry endpoints;
  private final Runnable startEndpointWatch;
  private final DispatchCounters counters = new DispatchCounters();
  private final RequestTable<P, S, C> requests = new RequestTable<>();
  private final RouterEvents<P, S, C> events;
  private final AttemptLifecycle<P, S, C> attempts;

  /**
   * Creates a dispatcher and its router; neither does anything before {@link #start}.
   *
   * @throws RuntimeException if the router cannot use its settings
   */
  public RequestDispatcher(DispatcherEnvironment<P, S, C> environment, DispatcherOptions options) {
    this.loop = environment.loop();
    this.metrics = environment.metrics();
    this.stallMonitor = environment.stallMonitor();
    this.endpoints = environment.endpoints();
    this.startEndpointWatch = options.startEndpointWatch();
    this.events = new RouterEvents<>(loop, requests, counters);
    this.attempts = new AttemptLifecycle<>(environment, options, counters, events, requests);
    events.setRouter(
        options
            .routerFactory()
            .create(options.routerSettings(), options.routerSeed(), new RouterActions()));
  }

  /** Starts the router; must be called once. */
  public void start() {
    events.raise(RequestRouter::started);
  }

  /** Submits a request and returns its id; the listener receives its output and its end. */
  public long submit(DispatchedRequest<P> request, RequestListener<C> listener) {
    InFlightRequest<P, S, C> added = requests.add(request, listener);
    counters.requestSubmitted();
    RoutingRequest routingRequest = routingRequest(added.id(), request);
    events.raise(added, (router, nowMicros) -> router.requestArrived(nowMicros, routingRequest));
    return added.id();
  }

  private static RoutingRequest routingRequest(long id, DispatchedRequest<?> request) {
    return RoutingRequest.builder()
        .id(id)
        .classId(request.classId())
        .tenantId(request.tenant())
        .sessionId(request.sessionKey())
        .prefixId(request.prefixKey())
        .promptTokens(request.promptTokens())
        .prefixTokens(request.prefixTokens())
        .maxAnswerTokens(request.maxAnswerTokens())
        .clientTimeoutMicros(request.firstTokenTimeoutMicros())
        .clientRetry(request.clientRetry())
        .resumed(request.resumed())
        .build();
  }

  /**
   * Ends a request, at any stage, because its client does not want the answer any more. Its
   * listener is not called again. Unknown and ended requests are ignored.
   */
  public void cancelRequest(long id) {
    requests.find(id).filter(request -> !request.hasEnded()).ifPresent(this::cancel);
  }

  private void cancel(InFlightRequest<P, S, C> request) {
    request.end();
    counters.requestCancelled();
    events.raise(
        request, (router, nowMicros) -> router.clientDisconnected(nowMicros, request.id()));
    request.openStream().ifPresent(attempts::cancelStream);
    requests.removeIfFinished(request);
  }

  /** Stops reading the answer from the engine; back-pressure slows the engine. */
  public void pauseOutput(long id) {
    requests.find(id).ifPresent(InFlightRequest::pauseOutput);
  }

  /** Resumes reading the answer. */
  public void resumeOutput(long id) {
    requests.find(id).ifPresent(InFlightRequest::resumeOutput);
  }

  /** Reports to the router an update of the endpoint list, or that the list is not available. */
  public void updateEndpoints(EndpointListKind kind, List<ServerEntry> servers) {
    events.raise((router, nowMicros) -> router.endpointsChanged(nowMicros, kind, servers));
  }

  /**
   * Reports to the router that this gateway shuts down.
   *
   * @param killedAtMicros time of the loop's clock at which this process may be killed
   */
  public void shuttingDown(long killedAtMicros) {
    events.raise((router, nowMicros) -> router.shutdownStarted(nowMicros, killedAtMicros));
  }

  /** Records the router's state in the metrics. */
  public void recordRouterState() {
    visitRouterState(metrics.stateVisitor(id -> endpoints.find(id).map(Endpoint::zone)));
  }

  /** Passes the router's state to a visitor. */
  public void visitRouterState(RouterStateVisitor visitor) {
    events.router().visitState(loop.now(), visitor);
  }

  /** Calls the consumer for each attempt that is in flight at a known server. */
  public void forEachAttemptInFlight(BiConsumer<Endpoint, DispatchedRequest<P>> consumer) {
    for (InFlightRequest<P, S, C> request : requests.inFlight()) {
      for (EngineAttempt<P, S, C> attempt : request.attempts()) {
        if (!attempt.hasEnded() && attempt.target().isPresent()) {
          consumer.accept(attempt.endpoint(), request.dispatched());
        }
      }
    }
  }

  /** Number of requests in flight, including ended requests with attempts still in flight. */
  public int requestsInFlight() {
    return requests.size();
  }

  /** The counts since the start. */
  public DispatchCounts counts() {
    return counters.snapshot();
  }

  /**
   * Reports to the router that its timer is due. After a stall of the process the timer is
   * postponed, so that the data that arrived during the stall is read before any timeout is
   * evaluated.
   */
  private void reportTimer(long token) {
    stallMonitor.detectStall(loop.now());
    long graceMicros = stallMonitor.remainingGraceMicros(loop.now());
    if (graceMicros > 0) {
      loop.schedule(graceMicros, () -> reportTimer(token));
    } else {
      events.raise((router, nowMicros) -> router.timerFired(nowMicros, token));
    }
  }

  /** Executes the router's actions; ignores those for requests that are not in flight any more. */
  private final class RouterActions implements RouterHost {
    private Optional<InFlightRequest<P, S, C>> find(long requestId) {
      return requests.find(requestId);
    }

    @Override
    public void send(long requestId, long serverId, long timeoutMicros, long latestSendMicros) {
      find(requestId)
          .ifPresent(request -> attempts.send(request, serverId, timeoutMicros, latestSendMicros));
    }

    @Override
    public void reject(long requestId, long retryAfterMicros) {
      find(requestId).ifPresent(request -> events.reject(request, retryAfterMicros));
    }

    @Override
    public void fail(long requestId) {
      find(requestId).ifPresent(events::fail);
    }

    @Override
    public void cancel(long requestId, int attempt) {
      find(requestId).ifPresent(request -> attempts.cancel(request, attempt));
    }

    @Override
    public void endSilentStream(long requestId, SilenceLimit limit) {
      find(requestId).ifPresent(request -> attempts.endSilentStream(request, limit));
    }

    @Override
    public void releaseState(long requestId) {
      find(requestId).ifPresent(attempts::releaseStates);
    }

    @Override
    public void setTimer(long token, long delayMicros) {
      loop.schedule(delayMicros, () -> reportTimer(token));
    }

    @Override
    public void watchEndpoints() {
      startEndpointWatch.run();
    }

    @Override
    public void log(String line) {
      LOG.info("router: {}", line);
    }

    @Override
    public void trace(long requestId, DecisionReason reason) {
      metrics.decisionMade(reason);
      LOG.debug("request {}: {}", requestId, reason);
    }
  }
}
