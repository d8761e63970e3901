package lemondock.policy;

import java.util.Collection;
import java.util.Comparator;

/**
 * Enforces rule 5: the state that readers hold, or may hold, for a request is taken by a writer or
 * released in time. {@link ReservedState} keeps the due time; this class follows the attempts and
 * requests the release.
 */
final class StateReleasePolicy {
  private static final long NEVER = Long.MAX_VALUE;

  private final DecisionClock clock;
  private final RouterHost host;
  private final Collection<InFlightRequest> inFlight;
  private final AttemptTimeouts timeouts;
  private long timerAtMicros = NEVER;

  /**
   * Creates the policy.
   *
   * @param inFlight view of the requests in flight, which the owner keeps up to date
   */
  StateReleasePolicy(
      DecisionClock clock,
      RouterHost host,
      Collection<InFlightRequest> inFlight,
      AttemptTimeouts timeouts) {
    this.clock = clock;
    this.host = host;
    this.inFlight = inFlight;
    this.timeouts = timeouts;
  }

  /** Records that a plain read was sent; it may end with its answer lost. */
  void recordReadSent(InFlightRequest request) {
    request.reservedState().recordReadSent(clock.nowMicros());
    schedule(request);
  }

  /** Records that a writer has begun to answer: no state is held any more. */
  void recordFirstToken(InFlightRequest request) {
    request.clearStateHolder();
    request.reservedState().clear();
  }

  /** Records how the end of an attempt changes the state that may be held. */
  void recordAttemptEnd(InFlightRequest request, Attempt attempt, AttemptResult result) {
    if (result.outcome() == AttemptOutcome.REJECTED && result.stateMissing()) {
      request.clearStateHolder();
    }
    if (result.outcome() == AttemptOutcome.PROMPT_READ) {
      request.setStateHolder(attempt.server());
      request.reservedState().recordReadAnswered(clock.nowMicros());
    } else if (result.outcome() == AttemptOutcome.OK || result.stateMissing()) {
      request.reservedState().clear();
    } else if (attempt.work() == AttemptWork.READ) {
      request.reservedState().recordReadFailed(clock.nowMicros(), attempt.neverRan());
    } else {
      request.reservedState().recordWriteFailed(clock.nowMicros());
    }
  }

  /**
   * Releases the state that may be held if no attempt is in flight: at the end of a request, and
   * again when a late read leaves a state.
   */
  void releaseIfIdle(InFlightRequest request) {
    if (request.reservedState().mayBeReserved() && !request.hasAttemptInFlight()) {
      release(request);
    }
  }

  /**
   * Releases the states that are due. A request may have an attempt in flight then: that attempt or
   * its answer may be lost.
   */
  void timerFired() {
    long now = clock.nowMicros();
    if (now >= timerAtMicros) {
      timerAtMicros = NEVER;
    }
    for (InFlightRequest request : inFlight) {
      if (request.reservedState().isDue(now)) {
        releaseIfDue(request);
      }
    }
    inFlight.stream()
        .min(Comparator.comparingLong(request -> request.reservedState().dueAtMicros()))
        .ifPresent(this::schedule);
  }

  /**
   * Releases the state that may be held, unless that is only the state of a read in flight that is
   * not suspected to be lost yet.
   */
  private void releaseIfDue(InFlightRequest request) {
    ReservedState state = request.reservedState();
    if (state.isOnlyReadInFlight()) {
      Attempt read = request.lastAttempt();
      long lostAtMicros = timeouts.lostAtMicros(request, read, state.releaseAfterMicros());
      state.postponeUntilReadLost(clock.nowMicros(), lostAtMicros);
      if (!state.isDue(clock.nowMicros())) {
        return;
      }
      read.markSuspectedLost();
      read.server().queue().recordLostRead(clock.nowMicros());
      host.trace(request.id(), DecisionReason.READ_SUSPECTED);
    }
    release(request);
  }

  private void release(InFlightRequest request) {
    host.trace(request.id(), DecisionReason.STATE_RELEASED);
    host.releaseState(request.id());
    request.clearStateHolder();
    request.reservedState().recordRelease(clock.nowMicros(), request.hasWriteInFlight());
  }

  /**
   * Sets the release timer if the request's state is due before the time for which the timer is
   * set. One timer serves all requests: timers cannot be cancelled, so a timer per request would
   * outlive most requests.
   */
  void schedule(InFlightRequest request) {
    long dueAtMicros = request.reservedState().dueAtMicros();
    if (dueAtMicros < timerAtMicros) {
      timerAtMicros = dueAtMicros;
      long delayMicros = Math.max(1, dueAtMicros - clock.nowMicros());
      host.setTimer(RequestTimer.STATE_RELEASE.token(), delayMicros);
    }
  }
}
