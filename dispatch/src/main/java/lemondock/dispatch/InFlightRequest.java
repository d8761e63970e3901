package lemondock.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

/**
 * A request, from its submission until it has ended and none of its attempts is in flight. Loop
 * thread only.
 */
final class InFlightRequest<P, S, C extends StreamChunk> {
  private final long id;
  private final DispatchedRequest<P> dispatched;
  private final RequestListener<C> listener;

  // Written by AttemptLifecycle.
  private final List<EngineAttempt<P, S, C>> attempts = new ArrayList<>();
  private final List<EngineAttempt<P, S, C>> attemptsView = Collections.unmodifiableList(attempts);
  private int attemptsInFlight;
  private Optional<EngineAttempt<P, S, C>> streamingAttempt = Optional.empty();
  private Optional<EngineAttempt<P, S, C>> lastPrefill = Optional.empty();

  /** In the order of reservation, the newest last. Written by ReservedStateReleaser. */
  private final List<ReservedState<S>> reservedStates = new ArrayList<>();

  /** Written by RequestDispatcher, RouterEvents and AttemptLifecycle. */
  private boolean ended;

  /** Written by RequestDispatcher. */
  private boolean outputPaused;

  InFlightRequest(long id, DispatchedRequest<P> dispatched, RequestListener<C> listener) {
    this.id = id;
    this.dispatched = dispatched;
    this.listener = listener;
  }

  long id() {
    return id;
  }

  /** The request as it was submitted. */
  DispatchedRequest<P> dispatched() {
    return dispatched;
  }

  P prompt() {
    return dispatched.prompt();
  }

  RequestListener<C> listener() {
    return listener;
  }

  /** All attempts, including ended ones, indexed by their numbers; an unmodifiable view. */
  List<EngineAttempt<P, S, C>> attempts() {
    return attemptsView;
  }

  /** Adds an attempt that the router has requested. */
  void addAttempt(EngineAttempt<P, S, C> attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  /** Called once for each attempt when it ends. */
  void attemptEnded() {
    attemptsInFlight--;
  }

  boolean hasAttemptInFlight() {
    return attemptsInFlight > 0;
  }

  /** The prefill that was sent last. */
  Optional<EngineAttempt<P, S, C>> lastPrefill() {
    return lastPrefill;
  }

  void setLastPrefill(EngineAttempt<P, S, C> prefill) {
    lastPrefill = Optional.of(prefill);
  }

  /** Makes this attempt the one whose output the client receives. */
  void beginStream(EngineAttempt<P, S, C> attempt) {
    streamingAttempt = Optional.of(attempt);
  }

  /** Whether the client receives an attempt's output: the first token has arrived. */
  boolean hasStreamBegun() {
    return streamingAttempt.isPresent();
  }

  /** Whether the client receives this attempt's output. */
  boolean isStreamedBy(EngineAttempt<P, S, C> attempt) {
    return streamingAttempt.isPresent() && streamingAttempt.get() == attempt;
  }

  /** The attempt whose output the client receives, while its stream is open. */
  Optional<EngineAttempt<P, S, C>> openStream() {
    return streamingAttempt.filter(attempt -> !attempt.hasEnded());
  }

  /** The state to decode from; empty if none is reserved. */
  Optional<ReservedState<S>> newestState() {
    return reservedStates.isEmpty()
        ? Optional.empty()
        : Optional.of(reservedStates.get(reservedStates.size() - 1));
  }

  void addState(ReservedState<S> state) {
    reservedStates.add(state);
  }

  /** Removes a state; returns false if it was not reserved for the request any more. */
  boolean removeState(ReservedState<S> state) {
    return reservedStates.remove(state);
  }

  /** Removes all states and returns them, the newest last. */
  List<ReservedState<S>> removeStates() {
    List<ReservedState<S>> removed = List.copyOf(reservedStates);
    reservedStates.clear();
    return removed;
  }

  /**
   * Whether the listener was or is about to be notified of the end, or the client has cancelled.
   */
  boolean hasEnded() {
    return ended;
  }

  void end() {
    ended = true;
  }

  boolean isOutputPaused() {
    return outputPaused;
  }

  /** Stops reading the output, also of a stream that begins later. */
  void pauseOutput() {
    if (!outputPaused) {
      outputPaused = true;
      openStream().ifPresent(EngineAttempt::pause);
    }
  }

  /** Resumes reading the output. */
  void resumeOutput() {
    if (outputPaused) {
      outputPaused = false;
      openStream().ifPresent(EngineAttempt::resume);
    }
  }
}
