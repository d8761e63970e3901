package lemondock.dispatch;

import java.util.List;
import java.util.Optional;
import lemondock.net.Loop;
import lemondock.overload.StallMonitor;
import lemondock.policy.AttemptOutcome;
import lemondock.policy.AttemptResult;
import lemondock.policy.ServerKind;
import lemondock.policy.ServerRole;
import lemondock.policy.SilenceLimit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Manages the lifecycle of attempts: sending, streaming, timeout, cancellation and end. Each
 * attempt that the router requests gets exactly one {@link AttemptResult}. Loop thread only.
 */
final class AttemptLifecycle<P, S, C extends StreamChunk> {
  private static final Logger LOG = LoggerFactory.getLogger(AttemptLifecycle.class);

  private final Loop loop;
  private final EnginePort<P, S, C> engines;
  private final EndpointRegistry endpoints;
  private final StallMonitor stallMonitor;
  private final AttemptMetrics metrics;
  private final String idPrefix;
  private final List<ServerRole> roles;
  private final DispatchCounters counters;
  private final RouterEvents<P, S, C> events;
  private final RequestTable<P, S, C> requests;
  private final ReservedStateReleaser<P, S, C> stateReleaser;

  AttemptLifecycle(
      DispatcherEnvironment<P, S, C> environment,
      DispatcherOptions options,
      DispatchCounters counters,
      RouterEvents<P, S, C> events,
      RequestTable<P, S, C> requests) {
    this.loop = environment.loop();
    this.engines = environment.engines();
    this.endpoints = environment.endpoints();
    this.stallMonitor = environment.stallMonitor();
    this.metrics = environment.metrics();
    this.idPrefix = options.attemptIdPrefix();
    this.roles = options.routerSettings().serverKinds().stream().map(ServerKind::role).toList();
    this.counters = counters;
    this.events = events;
    this.requests = requests;
    this.stateReleaser = new ReservedStateReleaser<>(loop, engines, metrics, counters);
  }

  /**
   * Sends a request to a server.
   *
   * @param timeoutMicros time within which the first output must arrive; 0 for no timeout
   * @param latestSendMicros time after which the last byte must not be sent
   */
  void send(
      InFlightRequest<P, S, C> request, long serverId, long timeoutMicros, long latestSendMicros) {
    EngineAttempt<P, S, C> attempt = createAttempt(request, serverId, latestSendMicros);
    if (request.hasEnded() || attempt.target().isEmpty()) {
      endOnNextTurn(
          attempt,
          AttemptEnd.of(
              AttemptOutcome.ABANDONED_BEFORE_SEND,
              "not sent: the request has ended or server " + serverId + " is unknown"));
      return;
    }
    LOG.debug(
        "request {}: sending attempt {} to {}",
        request.id(),
        attempt.number(),
        attempt.endpoint().name());
    sendToEngine(attempt, attempt.target().get());
    if (timeoutMicros > 0) {
      attempt.setTimeout(loop.schedule(timeoutMicros, () -> handleTimeout(attempt)));
    }
  }

  private EngineAttempt<P, S, C> createAttempt(
      InFlightRequest<P, S, C> request, long serverId, long latestSendMicros) {
    Optional<EngineAttempt.Target> target =
        endpoints
            .find(serverId)
            .map(
                endpoint ->
                    new EngineAttempt.Target(endpoint, roles.get(endpoints.kindIndex(endpoint))));
    EngineAttempt<P, S, C> attempt =
        new EngineAttempt<>(
            this,
            request,
            serverId,
            target,
            new EngineAttempt.AttemptOrigin(idPrefix, loop.now(), stallMonitor.totalStallMicros()),
            latestSendMicros);
    request.addAttempt(attempt);
    counters.attemptStarted();
    target.ifPresent(
        destination -> metrics.attemptSent(destination.role(), destination.endpoint().zone()));
    return attempt;
  }

  private void sendToEngine(EngineAttempt<P, S, C> attempt, EngineAttempt.Target target) {
    InFlightRequest<P, S, C> request = attempt.request();
    Optional<ReservedState<S>> state = request.newestState();
    if (target.role() == ServerRole.READER) {
      request.setLastPrefill(attempt);
      attempt.setHandle(
          engines.prefill(target.endpoint(), attempt.toSend(), request.dispatched(), attempt));
    } else if (target.role() == ServerRole.WRITER && state.isEmpty()) {
      endOnNextTurn(
          attempt,
          new AttemptEnd(AttemptOutcome.REJECTED, 0, true, "no reserved state to decode from"));
    } else {
      attempt.setDecodedState(state);
      attempt.setHandle(startOutput(attempt, target.endpoint(), state));
      if (request.isOutputPaused()) {
        attempt.pause();
      }
    }
  }

  private AttemptHandle startOutput(
      EngineAttempt<P, S, C> attempt, Endpoint endpoint, Optional<ReservedState<S>> state) {
    DispatchedRequest<P> request = attempt.request().dispatched();
    return state.isPresent()
        ? engines.decode(endpoint, attempt.toSend(), request, state.get().state(), attempt)
        : engines.prefillAndDecode(endpoint, attempt.toSend(), request, attempt);
  }

  private void handleTimeout(EngineAttempt<P, S, C> attempt) {
    if (!attempt.hasEnded() && !attempt.isStreaming()) {
      abort(attempt);
      end(
          attempt,
          AttemptEnd.of(
              AttemptOutcome.TIMEOUT, "the attempt produced no output within its timeout"));
    }
  }

  /** Cancels an attempt for the router; the attempt whose output the client receives continues. */
  void cancel(InFlightRequest<P, S, C> request, int number) {
    if (number >= request.attempts().size()) {
      return;
    }
    EngineAttempt<P, S, C> attempt = request.attempts().get(number);
    if (!attempt.hasEnded() && !attempt.isStreaming() && !attempt.isCancelled()) {
      attempt.markCancelled();
      abort(attempt);
      endOnNextTurn(
          attempt, AttemptEnd.of(AttemptOutcome.CANCELLED, "the router cancelled the attempt"));
    }
  }

  /** Cancels the attempt whose output the client receives, because the client has cancelled. */
  void cancelStream(EngineAttempt<P, S, C> attempt) {
    attempt.cancelAtEngine();
    endOnNextTurn(
        attempt, AttemptEnd.of(AttemptOutcome.CANCELLED, "the client cancelled the request"));
  }

  /** Ends the stream that the client receives if its engine has been silent for too long. */
  void endSilentStream(InFlightRequest<P, S, C> request, SilenceLimit limit) {
    request
        .openStream()
        .filter(attempt -> limit.isExceeded(attempt.silentMicros(), attempt.longestGapMicros()))
        .ifPresent(
            attempt -> {
              String cause =
                  "this gateway shuts down, and "
                      + attempt.endpoint().name()
                      + " sent nothing of an event for "
                      + attempt.silentMicros()
                      + " us";
              attempt.cancelAtEngine();
              endOnNextTurn(attempt, AttemptEnd.of(AttemptOutcome.RESET, cause));
            });
  }

  /** Closes the connection and, for a prefill, releases the state that it may have reserved. */
  private void abort(EngineAttempt<P, S, C> attempt) {
    boolean sent = attempt.cancelAtEngine();
    if (sent && attempt.isPrefill()) {
      releaseUncertain(attempt);
    }
  }

  private void releaseUncertain(EngineAttempt<P, S, C> prefill) {
    engines.releaseUncertain(prefill.endpoint(), prefill.id(), prefill.request().prompt());
  }

  /** Releases the states that are reserved for the request and that no attempt uses. */
  void releaseStates(InFlightRequest<P, S, C> request) {
    stateReleaser.release(request);
  }

  void prefillCompleted(EngineAttempt<P, S, C> attempt, S state, int cachedTokens) {
    if (attempt.hasEnded()) {
      return;
    }
    InFlightRequest<P, S, C> request = attempt.request();
    Endpoint endpoint = attempt.endpoint();
    stateReleaser.addReserved(
        request, new ReservedState<>(endpoint, attempt.id(), state, loop.now()));
    LOG.debug("request {}: state reserved at {}", request.id(), endpoint.name());
    end(attempt, new AttemptEnd(AttemptOutcome.PROMPT_READ, cachedTokens, false, ""));
  }

  /**
   * Handles the first output of a request: its client receives this attempt's output from now on.
   */
  void firstTokenReceived(EngineAttempt<P, S, C> attempt) {
    InFlightRequest<P, S, C> request = attempt.request();
    request.beginStream(attempt);
    if (attempt
        .decodedState()
        .filter(state -> stateReleaser.markFetched(request, state))
        .isPresent()) {
      LOG.debug("request {}: state fetched by {}", request.id(), attempt.endpoint().name());
    }
    stateReleaser.supersedeAll(request);
    events.raise(
        request,
        (router, nowMicros) ->
            router.firstToken(
                nowMicros,
                request.id(),
                attempt.number(),
                attempt.serverId(),
                elapsedMicros(attempt)));
  }

  /** Ends an attempt in a later task of the loop, because router events must not be nested. */
  private void endOnNextTurn(EngineAttempt<P, S, C> attempt, AttemptEnd end) {
    loop.execute(() -> end(attempt, end));
  }

  /** Ends an attempt; every attempt ends here. Ignored if it has ended already. */
  void end(EngineAttempt<P, S, C> attempt, AttemptEnd end) {
    if (attempt.hasEnded()) {
      return;
    }
    InFlightRequest<P, S, C> request = attempt.request();
    attempt.markEnded();
    request.attemptEnded();
    AttemptOutcome outcome = end.outcome();
    if (attempt.isPrefill()
        && (outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.ERROR)) {
      releaseUncertain(attempt);
    }
    attempt
        .target()
        .ifPresent(
            target -> metrics.attemptEnded(target.role(), target.endpoint().zone(), outcome));
    boolean endsRequest = attempt.isStreaming() || outcome == AttemptOutcome.OK;
    final boolean isFirstEnd = endsRequest && !request.hasEnded();
    if (endsRequest) {
      request.end();
    }
    logUnlessSuccessful(attempt, end);
    if (end.stateMissing()) {
      attempt.decodedState().ifPresent(state -> stateReleaser.discardMissing(request, state));
    }
    AttemptResult result = result(attempt, end);
    events.raise(request, (router, nowMicros) -> router.attemptEnded(nowMicros, result));
    if (isFirstEnd) {
      notifyListener(request, end);
    }
    requests.removeIfFinished(request);
  }

  private AttemptResult result(EngineAttempt<P, S, C> attempt, AttemptEnd end) {
    return AttemptResult.builder()
        .requestId(attempt.request().id())
        .attempt(attempt.number())
        .serverId(attempt.serverId())
        .outcome(end.outcome())
        .elapsedMicros(elapsedMicros(attempt))
        .requestEnded(attempt.request().hasEnded())
        .cachedTokens(end.cachedTokens())
        .stateMissing(end.stateMissing())
        .build();
  }

  private void notifyListener(InFlightRequest<P, S, C> request, AttemptEnd end) {
    if (end.outcome() == AttemptOutcome.OK) {
      counters.requestCompleted();
      request.listener().completed();
    } else {
      counters.requestInterrupted();
      request.listener().interrupted(end.cause());
    }
  }

  private void logUnlessSuccessful(EngineAttempt<P, S, C> attempt, AttemptEnd end) {
    AttemptOutcome outcome = end.outcome();
    if (outcome != AttemptOutcome.OK
        && outcome != AttemptOutcome.PROMPT_READ
        && LOG.isDebugEnabled()) {
      LOG.atDebug()
          .addKeyValue("request", attempt.id())
          .addKeyValue(
              "server", attempt.target().map(target -> target.endpoint().name()).orElse("?"))
          .addKeyValue("ending", outcome)
          .addKeyValue("why", end.cause())
          .log("attempt ended without success");
    }
  }

  /** Time since an attempt was sent, excluding the time for which this process was stalled. */
  private long elapsedMicros(EngineAttempt<P, S, C> attempt) {
    stallMonitor.detectStall(loop.now());
    EngineAttempt.AttemptOrigin origin = attempt.origin();
    long stalledMicros = stallMonitor.totalStallMicros() - origin.stalledMicrosBefore();
    return Math.max(0, loop.now() - origin.sentAtMicros() - stalledMicros);
  }
}
