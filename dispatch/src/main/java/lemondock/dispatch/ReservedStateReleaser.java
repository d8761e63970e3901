package lemondock.dispatch;

import lemondock.net.Loop;

/**
 * Keeps, releases and counts the states that are reserved at servers for requests. Loop thread
 * only.
 */
final class ReservedStateReleaser<P, S, C extends StreamChunk> {
  private final Loop loop;
  private final EnginePort<P, S, C> engines;
  private final AttemptMetrics metrics;
  private final DispatchCounters counters;

  ReservedStateReleaser(
      Loop loop, EnginePort<P, S, C> engines, AttemptMetrics metrics, DispatchCounters counters) {
    this.loop = loop;
    this.engines = engines;
    this.metrics = metrics;
    this.counters = counters;
  }

  /** Adds a reserved state. It supersedes earlier ones, because a request needs only one. */
  void addReserved(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    supersedeAll(request);
    metrics.stateReserved(state.endpoint().zone());
    request.addState(state);
  }

  /** Removes a state that a decoding server has fetched; false if it was not reserved any more. */
  boolean markFetched(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    if (!request.removeState(state)) {
      return false;
    }
    metrics.stateFetched(state.endpoint().zone(), loop.now() - state.reservedAtMicros());
    return true;
  }

  /** Discards a state that a server did not find when it was to decode from it. */
  void discardMissing(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    if (request.removeState(state)) {
      supersede(request, state);
    }
  }

  /** Releases all states of a request that continues but does not need them any more. */
  void supersedeAll(InFlightRequest<P, S, C> request) {
    request.removeStates().forEach(state -> supersede(request, state));
  }

  private void supersede(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    countRelease(state);
    engines.releaseSuperseded(state.endpoint(), state.attemptId(), request.prompt());
  }

  /** Releases the states that are reserved for the request and that no attempt uses. */
  void release(InFlightRequest<P, S, C> request) {
    if (releaseIdle(request)) {
      request.removeStates().forEach(this::countRelease);
    } else if (!request.hasAttemptInFlight()) {
      request.removeStates().forEach(state -> releaseAtServer(request, state));
    }
  }

  /**
   * Releases all idle states with one message; false if the engines' protocol has no such message
   * or no prefill was sent.
   */
  private boolean releaseIdle(InFlightRequest<P, S, C> request) {
    return request
        .lastPrefill()
        .filter(
            prefill ->
                engines.releaseIdle(
                    prefill.endpoint(), prefill.id(), request.prompt(), request.hasEnded()))
        .isPresent();
  }

  private void releaseAtServer(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    countRelease(state);
    engines.release(state.endpoint(), state.attemptId(), request.prompt());
  }

  private void countRelease(ReservedState<S> state) {
    counters.stateReleased();
    metrics.stateReleased(state.endpoint().zone(), loop.now() - state.reservedAtMicros());
  }
}
