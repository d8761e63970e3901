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

  /** Times what the slowest read of late would have taken, after which the same is suspected. */
  private static final double SLOWEST_FACTOR = 2.0;

  /** A server that has answered within this time can be noticed to fall silent. */
  private static final long RECENT_MICROS = 1_000_000L;

  /** So many reads answered of late tell what one may take at a server not heard of, too. */
  private static final double ENOUGH_READS = 5;

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

  /**
   * Sets the time after which a read without an answer is overdue, as it is sent: soon it is
   * cancelled.
   */
  void setOverdueTime(Attempt read) {
    long leftMicros = read.timeoutAtMicros() - clock.nowMicros();
    read.setOverdueAfter(
        leftMicros > 0 ? (long) (leftMicros * SUSPECT_SHARE) : slowAfterMicros(read));
  }

  /**
   * When the answer of a read counts as lost, by what is known now: it is overdue, or its server
   * has fallen silent, that is it has answered nothing for twice what the slowest read of late
   * would have taken, whatever the latency objective.
   *
   * @param leastSilenceMicros time for which a server may answer nothing in any case
   */
  long lostAtMicros(InFlightRequest request, Attempt read, long leastSilenceMicros) {
    long overdueAtMicros = read.queueUnmovedSinceMicros() + read.overdueAfterMicros();
    if (!canBeNoticedAsSilent(read.server())) {
      return overdueAtMicros;
    }
    double slowestMicros = latency.longestReadMicros(request, read) * SLOWEST_FACTOR;
    long silenceMicros = (long) Math.max(leastSilenceMicros, slowestMicros);
    return Math.min(overdueAtMicros, read.serverSilentSinceMicros() + silenceMicros);
  }

  /**
   * Where this gateway hears of its servers too rarely to know what is usual, one that has not
   * answered for long may only be slow.
   */
  private boolean canBeNoticedAsSilent(ServerState server) {
    long now = clock.nowMicros();
    return server.queue().hasAnsweredSince(now - RECENT_MICROS)
        || server.queue().isSilent()
        || server.roleStatistics().answeredReads(now) >= ENOUGH_READS;
  }

  /** What an attempt may take before it is more than slow. */
  private static long slowAfterMicros(Attempt attempt) {
    return (long)
        (attempt.expectedMicros() * EXPECTED_FACTOR
            + attempt.server().roleStatistics().waitMicros() * ROLE_WAIT_FACTOR);
  }
}
