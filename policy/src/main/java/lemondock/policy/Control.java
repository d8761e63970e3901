package lemondock.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;

/**
 * Implements the interface in {@code RequestRouter.java}: receives the events of one gateway and
 * decides the order of work. A request is admitted or queued, its prompt is read (prefill) by one
 * server, its answer is written (decode) by the same or another one, and it ends with exactly one
 * final answer. Every other concern has a class of its own; the package comment lists them, and
 * says which class enforces each of the five rules.
 *
 * <p>One instance serves one gateway. It is not thread-safe: the host delivers all events on one
 * thread, which owns all state of this package.
 */
public final class Control implements RequestRouter {
  /** Interval of the timer that reaps expired sessions and logs the router's state. */
  private static final long REAP_INTERVAL_MICROS = 5_000_000L;

  /** Share of the remaining latency objective within which a read should end. */
  private static final double READ_OBJECTIVE_SHARE = 0.7;

  private final RouterSettings settings;
  private final RouterHost host;
  private final SplittableRandom random;
  private final DecisionClock clock = new DecisionClock();
  private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
  private final ServerModel servers;
  private final AdmissionQuota quota;
  private final AdaptiveCapacityLimit capacity;
  private final AdmissionQueue queue;
  private final RetryPolicy retryPolicy;
  private final AttemptTimeouts timeouts;
  private final StateReleasePolicy stateReleases;
  private final RequestCompletion completion;
  private final SessionTable sessions;
  private final ReaderSelector readerSelector;
  private final WriterSelector writerSelector;
  private final AttemptSender sender;
  private final AttemptRecorder recorder;
  private final ShutdownDeadline shutdown;

  /**
   * Creates the router of one gateway.
   *
   * @param seed seed of the generator behind all random choices; equal settings, seeds and events
   *     lead to equal actions
   * @throws InvalidRouterInputException if the settings cannot be used; the message says why
   */
  public Control(RouterSettings settings, long seed, RouterHost host) {
    SettingsCheck.check(settings);
    this.settings = settings;
    this.host = host;
    this.random = new SplittableRandom(seed);
    servers = ServerModel.create(settings, random, clock);
    quota = new AdmissionQuota(settings, clock);
    capacity = new AdaptiveCapacityLimit(settings, servers, quota);
    queue = new AdmissionQueue(clock, host);
    retryPolicy = new RetryPolicy(settings, clock);
    boolean mayCancel = settings.limits().mayCancel();
    timeouts = new AttemptTimeouts(mayCancel, clock, host, retryPolicy, servers.latency());
    stateReleases = new StateReleasePolicy(clock, host, inFlight.values(), timeouts);
    completion = new RequestCompletion(settings.limits(), host, stateReleases, queue, inFlight);
    sessions = new SessionTable(servers.table(), clock);
    final CachedPromptEstimator cachedPrompts =
        new CachedPromptEstimator(settings.classes().size(), servers.slowStart());
    ServerEligibility eligibility = new ServerEligibility(servers, retryPolicy);
    readerSelector = new ReaderSelector(eligibility, servers, capacity, sessions, cachedPrompts);
    writerSelector = new WriterSelector(eligibility, servers, capacity, random);
    sender = new AttemptSender(clock, host, servers, capacity, timeouts, retryPolicy);
    recorder = new AttemptRecorder(servers, capacity, sessions, cachedPrompts);
    shutdown = new ShutdownDeadline(clock, host, settings.classes().size());
  }

  @Override
  public void started(long nowMicros) {
    clock.advanceTo(nowMicros);
    host.setTimer(RequestTimer.REAP_SESSIONS.token(), REAP_INTERVAL_MICROS);
    if (settings.limits().pollsEndpointList()) {
      host.watchEndpoints();
    }
  }

  @Override
  public void endpointsChanged(long nowMicros, EndpointListKind kind, List<ServerEntry> entries) {
    clock.advanceTo(nowMicros);
    if (kind == EndpointListKind.FAILED) {
      host.watchEndpoints();
      return;
    }
    servers.table().apply(kind, entries);
    dispatchQueued();
  }

  @Override
  public void requestArrived(long nowMicros, RoutingRequest attributes) {
    clock.advanceTo(nowMicros);
    InFlightRequest request = newRequest(attributes);
    inFlight.put(request.id(), request);
    servers.slowStart().recordRequest(request.writeTokens());
    retryPolicy.recordArrival();
    quota.recordArrival(attributes);
    long timeoutMicros = attributes.clientTimeoutMicros() - settings.timerResolutionMicros();
    host.setTimer(RequestTimer.DEADLINE.token(request.id()), Math.max(0, timeoutMicros));
    shutdown.setTimer(request);
    if (shutdown.rejects(request)) {
      completion.complete(request, DecisionReason.SHUTTING_DOWN);
    } else if (!tryDispatch(request)) {
      queue.enqueue(request);
    }
  }

  private InFlightRequest newRequest(RoutingRequest attributes) {
    return new InFlightRequest(
        attributes,
        settings.classes().get(attributes.classId()),
        clock.nowMicros(),
        new ReservedState(settings.rules().releaseWithinMicros()),
        random.nextDouble());
  }

  @Override
  public void firstToken(
      long nowMicros,
      long requestId,
      int attemptIndex,
      long serverId,
      long timeToFirstTokenMicros) {
    clock.advanceTo(nowMicros);
    Optional<InFlightRequest> request = find(requestId);
    Optional<Attempt> attempt = request.flatMap(foundRequest -> foundRequest.attempt(attemptIndex));
    if (attempt.isPresent()) {
      beginStream(request.get(), attempt.get(), timeToFirstTokenMicros);
    }
  }

  private Optional<InFlightRequest> find(long requestId) {
    return Optional.ofNullable(inFlight.get(requestId));
  }

  private void beginStream(InFlightRequest request, Attempt attempt, long timeToFirstTokenMicros) {
    request.setStreaming(true);
    stateReleases.recordFirstToken(request);
    recorder.recordFirstToken(request, attempt, timeToFirstTokenMicros);
    dispatchQueued();
  }

  @Override
  public void attemptEnded(long nowMicros, AttemptResult result) {
    clock.advanceTo(nowMicros);
    Optional<InFlightRequest> request = find(result.requestId());
    Optional<Attempt> attempt =
        request.flatMap(foundRequest -> foundRequest.attempt(result.attempt()));
    if (attempt.isPresent() && !attempt.get().hasEnded()) {
      endAttempt(request.get(), attempt.get(), result);
    }
  }

  private void endAttempt(InFlightRequest request, Attempt attempt, AttemptResult result) {
    recorder.recordEnd(request, attempt, result);
    if (attempt.hasFirstToken() && result.outcome() == AttemptOutcome.OK) {
      shutdown.recordStream(request, attempt);
    }
    if (result.requestEnded()) {
      request.end();
    }
    if (attempt.hasFirstToken()) {
      // The stream has ended. Unless the request ended with it, the client still needs an answer.
      request.setStreaming(false);
    }
    stateReleases.recordAttemptEnd(request, attempt, result);
    if (request.hasEnded() || request.isStreaming()) {
      stateReleases.releaseIfIdle(request);
    } else {
      continueRequest(request);
      stateReleases.schedule(request);
    }
    completion.removeIfEnded(request);
    dispatchQueued();
  }

  @Override
  public void clientDisconnected(long nowMicros, long requestId) {
    clock.advanceTo(nowMicros);
    find(requestId).filter(request -> !request.hasEnded()).ifPresent(completion::abandon);
  }

  @Override
  public void timerFired(long nowMicros, long token) {
    clock.advanceTo(nowMicros);
    switch (RequestTimer.kindOf(token)) {
      case REAP_SESSIONS -> reapSessions();
      case QUEUE_SCAN -> {
        queue.scanTimerFired();
        dispatchQueued();
      }
      case STATE_RELEASE -> stateReleases.timerFired();
      case ATTEMPT_TIMEOUT -> unansweredRequest(token).ifPresent(timeouts::timerFired);
      case QUEUE_TIMEOUT ->
          unansweredRequest(token)
              .filter(queue::contains)
              .ifPresent(request -> completion.complete(request, DecisionReason.QUEUE_TIMEOUT));
      case DEADLINE -> deadlineTimerFired(token);
      default -> throw new IllegalStateException("no handler for the kind of timer token " + token);
    }
  }

  /** Ends the request if no answer to it has begun, or if the answer hangs before the kill. */
  private void deadlineTimerFired(long token) {
    unansweredRequest(token)
        .ifPresentOrElse(
            request -> completion.complete(request, DecisionReason.DEADLINE_EXCEEDED),
            () ->
                find(RequestTimer.requestIdOf(token))
                    .filter(request -> !request.hasEnded())
                    .ifPresent(shutdown::streamTimerFired));
  }

  /** Finds the request that a timer token belongs to, if no answer to it has begun. */
  private Optional<InFlightRequest> unansweredRequest(long token) {
    return find(RequestTimer.requestIdOf(token))
        .filter(request -> !request.hasEnded() && !request.isStreaming());
  }

  @Override
  public void shutdownStarted(long nowMicros, long killedAtMicros) {
    clock.advanceTo(nowMicros);
    shutdown.shutdownStarted(killedAtMicros);
  }

  @Override
  public void visitState(long nowMicros, RouterStateVisitor visitor) {
    clock.advanceTo(Math.max(clock.nowMicros(), nowMicros));
    for (ServerState server : servers.table().all()) {
      boolean warmingUp = servers.slowStart().isWarmingUp(server);
      boolean healthy = servers.outliers().isHealthy(server);
      visitor.server(server.id(), server.role(), server.lifecycle(), warmingUp, healthy);
    }
    visitor.totals(queue.size(), capacity.tokensInFlight(), capacity.capacityTokens());
  }

  private void dispatchQueued() {
    queue.scan(this::tryDispatch);
  }

  /** Sends the request to a reader if it is admitted; returns false if it has to wait. */
  private boolean tryDispatch(InFlightRequest request) {
    return capacity.admits(request) && dispatchRead(request);
  }

  /**
   * Sends the request to a reader. Returns false if no reader may take it now, or if the read would
   * probably end too late: see {@link InFlightRequest#lateReadFactor}.
   */
  private boolean dispatchRead(InFlightRequest request) {
    Optional<AttemptPlan> read = readerSelector.select(request);
    double leftMicros = request.remainingObjectiveMicros(clock.nowMicros()) * READ_OBJECTIVE_SHARE;
    if (read.isEmpty() || read.get().expectedMicros() * request.lateReadFactor() > leftMicros) {
      return false;
    }
    send(request, read.get());
    return true;
  }

  private void dispatchWrite(InFlightRequest request, ServerState stateHolder) {
    Optional<AttemptPlan> write = writerSelector.select(request, stateHolder);
    if (write.isPresent()) {
      send(request, write.get());
    } else {
      completion.complete(request, DecisionReason.NO_WRITER);
    }
  }

  private void send(InFlightRequest request, AttemptPlan plan) {
    Attempt attempt = sender.send(request, plan);
    if (attempt.work() == AttemptWork.READ) {
      timeouts.setOverdueTime(attempt);
      stateReleases.recordReadSent(request);
    }
  }

  /**
   * Decides what follows an attempt that left the request unanswered: a write from the reserved
   * state, a retry, or the final answer.
   */
  private void continueRequest(InFlightRequest request) {
    if (request.hasAttemptInFlight()) {
      return;
    }
    Attempt last = request.lastAttempt();
    if (last.neverRan() && request.reservedState().isDue(clock.nowMicros())) {
      // The last attempt never ran, so no writer has taken the state. Trying another writer could
      // hold the state beyond its limit.
      stateReleases.releaseIfIdle(request);
    }
    boolean retry = !last.reads() || request.stateHolder().isEmpty();
    boolean readAgain = retryPolicy.shouldReadAgain(request, last);
    Optional<DecisionReason> refusal = retryPolicy.requestFurtherAttempt(request, retry);
    if (refusal.isPresent()) {
      completion.complete(request, refusal.get());
      return;
    }
    if (retry) {
      host.trace(request.id(), DecisionReason.RETRY);
    }
    if (request.stateHolder().isPresent() && !readAgain) {
      dispatchWrite(request, request.stateHolder().get());
    } else if (!dispatchRead(request)) {
      completion.complete(request, DecisionReason.NO_READER);
    }
  }

  private void reapSessions() {
    sessions.reap();
    logState();
    host.setTimer(RequestTimer.REAP_SESSIONS.token(), REAP_INTERVAL_MICROS);
  }

  private void logState() {
    RoleStatistics readers = servers.table().statistics(ServerRole.READER);
    List<Long> ejected =
        servers.table().all().stream()
            .filter(server -> !servers.outliers().isHealthy(server))
            .map(ServerState::id)
            .toList();
    host.log(
        "router state: tokens in flight "
            + capacity.tokensInFlight()
            + " of "
            + capacity.capacityTokens()
            + ", queued requests "
            + queue.size()
            + ", ejected servers "
            + ejected
            + ", mean wait of reads "
            + (long) readers.waitMicros()
            + " us (longest "
            + (long) readers.longestReadWaitMicros(clock.nowMicros())
            + " us), mean wait of writes "
            + (long) servers.table().statistics(ServerRole.WRITER).waitMicros()
            + " us");
  }
}
