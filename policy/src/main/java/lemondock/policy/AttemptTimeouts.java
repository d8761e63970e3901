package lemondock.policy;

/**
 * Cancels attempts that are overdue, so that the next server is tried. Overdue is judged by how
 * long work waits at all servers of the role: one gateway cannot tell a lost answer, a stall or a
 * cut link from a queue, and under plain load all waits grow. It can do harm where one server is
 * overloaded: the prompt is read twice.
 */
final class AttemptTimeouts {
  /** Share of what is left of the latency objective, after which an attempt may be overdue. */
  private static final double OBJECTIVE_SHARE = 0.9;

  /** Times what an attempt should take, after which it may be overdue; both bounds must pass. */
  private static final double EXPECTED_FACTOR = 2.0;

  /** Times what work of the role waits now, added to the latter bound. */
  private static final double ROLE_WAIT_FACTOR = 5.0;

  /** Share of the timeout after which the answer of a read is suspected to be lost. */
  private static final double SUSPECT_SHARE = 0.8;

  private final boolean mayCancel;
  private final DecisionClock clock;
  private final RouterHost host;
  private final RetryPolicy retryPolicy;
  private final LatencyEstimator latency;

  AttemptTimeouts(
      boolean mayCancel,
      DecisionClock clock,
      RouterHost host,
      RetryPolicy retryPolicy,
      LatencyEstimator latency) {
    this.mayCancel = mayCancel;
    this.clock = clock;
    this.host = host;
    this.retryPolicy = retryPolicy;
    this.latency = latency;
  }

  /** Sets the attempt's timeout, twice as long after each attempt that was cancelled. */
  void start(InFlightRequest request, Attempt attempt) {
    if (!mayCancel || RetryPolicy.isNonRepeatableWrite(request, attempt)) {
      return;
    }
    long earlier = request.timedOutAttempts();
    double base =
        earlier == 0
            ? request.remainingObjectiveMicros(clock.nowMicros())
            : request.objectiveMicros() * (1L << earlier);
    long timeoutMicros =
        (long) Math.max(1, Math.max(base * OBJECTIVE_SHARE, slowAfterMicros(attempt)));
    attempt.setTimeoutAt(clock.nowMicros() + timeoutMicros);
    host.setTimer(RequestTimer.ATTEMPT_TIMEOUT.token(request.id()), timeoutMicros);
  }

  /** A timer set by {@link #start} has fired: cancels the request's last attempt if overdue. */
  void timerFired(InFlightRequest request) {
    Attempt attempt = request.lastAttempt();
    if (!mayTimeOut(request, attempt)) {
      return;
    }
    if (attempt.queueHasMovedSinceTimeoutStarted()) {
      attempt.extendTimeout(clock.nowMicros());
      start(request, attempt);
      return;
    }
    attempt.markTimedOut();
    host.trace(request.id(), DecisionReason.ATTEMPT_TIMEOUT);
    latency.recordTimeout(attempt);
    host.cancel(request.id(), request.attemptCount() - 1);
  }

  private boolean mayTimeOut(InFlightRequest request, Attempt attempt) {
    return !attempt.ended()
        && !RetryPolicy.isNonRepeatableWrite(request, attempt)
        && clock.nowMicros() >= attempt.timeoutAtMicros()
        && !retryPolicy.attemptsExhausted(request)
        && retryPolicy.hasBudget();
  }

  /** A read without an answer for so long has likely lost it: soon it is cancelled. */
  long suspectAfterMicros(Attempt attempt) {
    long leftMicros = attempt.timeoutAtMicros() - clock.nowMicros();
    return leftMicros > 0 ? (long) (leftMicros * SUSPECT_SHARE) : slowAfterMicros(attempt);
  }

  /** What an attempt may take before it is more than slow. */
  private static long slowAfterMicros(Attempt attempt) {
    return (long)
        (attempt.expectedMicros() * EXPECTED_FACTOR
            + attempt.server().roleStatistics().waitMicros() * ROLE_WAIT_FACTOR);
  }
}
