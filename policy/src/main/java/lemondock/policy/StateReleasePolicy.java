package lemondock.policy;

import java.util.Collection;
import java.util.Comparator;

/**
 * Guards rule 5: what readers hold, or may hold, for a request is taken by a writer or released in
 * time. {@link ReservedState} says when; this class follows the attempts and asks for the release.
 */
final class StateReleasePolicy {
  private static final long NEVER = Long.MAX_VALUE;

  private final DecisionClock clock;
  private final RouterHost host;
  private final Collection<InFlightRequest> inFlight;
  private final AttemptTimeouts timeouts;
  private long timerAtMicros = NEVER;

  /** The requests are a view of those in flight, which the owner keeps up to date. */
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

  /** A plain read was sent; it may end and its answer be lost. */
  void readSent(InFlightRequest request) {
    request.reservedState().readSent(clock.nowMicros());
    schedule(request);
  }

  /** A writer has begun to answer: nothing is held any more. */
  void firstToken(InFlightRequest request) {
    request.clearStateHolder();
    request.reservedState().cleared();
  }

  /** An attempt has ended. */
  void attemptEnded(InFlightRequest request, Attempt attempt, AttemptResult result) {
    if (result.outcome() == AttemptOutcome.REJECTED && result.stateMissing()) {
      request.clearStateHolder();
    }
    if (result.outcome() == AttemptOutcome.PROMPT_READ) {
      request.setStateHolder(attempt.server());
      request.reservedState().readAnswered(clock.nowMicros());
    } else if (result.outcome() == AttemptOutcome.OK || result.stateMissing()) {
      request.reservedState().cleared();
    } else if (attempt.work() == AttemptWork.READ) {
      request.reservedState().readFailed(clock.nowMicros(), attempt.neverRan());
    } else {
      request.reservedState().writeFailed(clock.nowMicros());
    }
  }

  /** Releases at the end of a request, and again when a late read leaves a state. */
  void releaseIfIdle(InFlightRequest request) {
    if (request.reservedState().mayBeReserved() && !request.hasAttemptInFlight()) {
      release(request);
    }
  }

  /** Releases what is due while an attempt is in flight that may be lost, or whose answer may. */
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

  /** Releases what may be held, unless all that may is what a read in a moving queue will leave. */
  private void releaseIfDue(InFlightRequest request) {
    ReservedState state = request.reservedState();
    if (state.onlyReading()) {
      Attempt read = request.lastAttempt();
      long lostAtMicros = timeouts.lostAtMicros(request, read, state.releaseAfterMicros());
      state.readLostAt(clock.nowMicros(), lostAtMicros);
      if (!state.isDue(clock.nowMicros())) {
        return;
      }
      read.markSuspected();
      read.server().queue().recordLostRead(clock.nowMicros());
      host.trace(request.id(), DecisionReason.READ_SUSPECTED);
    }
    release(request);
  }

  private void release(InFlightRequest request) {
    host.trace(request.id(), DecisionReason.STATE_RELEASED);
    host.releaseState(request.id());
    request.clearStateHolder();
    request.reservedState().released(clock.nowMicros(), request.hasWriteInFlight());
  }

  /**
   * Sets the timer if the request's state is due before it. One timer serves all requests: a timer
   * cannot be cancelled, and would outlive most of them.
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
