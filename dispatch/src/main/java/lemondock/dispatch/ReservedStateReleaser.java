package lemondock.dispatch;

import lemondock.net.Loop;

/**
 * Releases the states that requests have reserved at servers, and counts them. Loop thread only.
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

  /** A prefill has reserved a state. Any earlier one is superseded: a request needs only one. */
  void reserved(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    supersedeAll(request);
    metrics.stateReserved(state.endpoint().zone());
    request.addState(state);
  }

  /** The server that decodes from a state has fetched it; false if it was not reserved any more. */
  boolean fetched(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    if (!request.removeState(state)) {
      return false;
    }
    metrics.stateFetched(state.endpoint().zone(), loop.now() - state.reservedAtMicros());
    return true;
  }

  /** A server did not find the state that it was to decode from. */
  void missing(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    if (request.removeState(state)) {
      supersede(request, state);
    }
  }

  /** The request needs none of its states, though it goes on. */
  void supersedeAll(InFlightRequest<P, S, C> request) {
    request.removeStates().forEach(state -> supersede(request, state));
  }

  private void supersede(InFlightRequest<P, S, C> request, ReservedState<S> state) {
    countRelease(state);
    engines.releaseSuperseded(state.endpoint(), state.attemptId(), request.prompt());
  }

  /** The router asks to release what is reserved for the request and no attempt uses. */
  void release(InFlightRequest<P, S, C> request) {
    if (releaseIdle(request)) {
      request.removeStates().forEach(this::countRelease);
    } else if (!request.hasAttemptInFlight()) {
      request.removeStates().forEach(state -> releaseAtServer(request, state));
    }
  }

  /** Whether the engines' protocol could release all that is idle at once. */
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
