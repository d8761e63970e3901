package lemondock.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A request from its submission until it has ended and none of its attempts is in flight. Loop
 * thread only.
 */
final class InFlightRequest<P, S, C extends StreamChunk> {
  final long id;
  final DispatchedRequest<P> request;
  final RequestListener<C> listener;

  /** Attempts by their numbers, ended ones among them. */
  final List<EngineAttempt<P, S, C>> attempts = new ArrayList<>();

  /** The newest is the last. */
  final List<ReservedState<S>> reservedStates = new ArrayList<>();

  int attemptsInFlight;

  /** Whether the listener has heard, or is about to hear, the end; or the client has cancelled. */
  boolean ended;

  boolean outputPaused;

  /** The attempt whose output the client gets; null before the first token. */
  EngineAttempt<P, S, C> streamingAttempt;

  /** The prefill sent last; null if there was none. */
  EngineAttempt<P, S, C> lastPrefill;

  InFlightRequest(long id, DispatchedRequest<P> request, RequestListener<C> listener) {
    this.id = id;
    this.request = request;
    this.listener = listener;
  }

  /** The state to decode from. */
  Optional<ReservedState<S>> newestState() {
    return reservedStates.isEmpty()
        ? Optional.empty()
        : Optional.of(reservedStates.get(reservedStates.size() - 1));
  }

  /** The attempt whose output the client gets, while its stream is open. */
  Optional<EngineAttempt<P, S, C>> openStream() {
    return streamingAttempt == null || streamingAttempt.ended
        ? Optional.empty()
        : Optional.of(streamingAttempt);
  }

  void pauseOutput() {
    if (!outputPaused) {
      outputPaused = true;
      openStream().ifPresent(attempt -> attempt.handle.pause());
    }
  }

  void resumeOutput() {
    if (outputPaused) {
      outputPaused = false;
      openStream().ifPresent(attempt -> attempt.handle.resume());
    }
  }
}
