package lemondock.policy;

/**
 * Cancels attempts that take too long, so that the request can be retried at another server. The
 * timeout depends on how long work waits at all servers of the role: one gateway cannot distinguish
 * a lost answer, a stall or a network partition from a queue, and under ordinary load all waits
 * grow. Cancelling can do harm where a single server is overloaded: the prompt is then read twice.
 */
final class AttemptTimeouts {
  /** An attempt may time out after this share of the remaining latency objective. */
  private static final double OBJECTIVE_SHARE = 0.9;

  /**
   * An attempt may time out after this multiple of its expected time. Both this and the bound by
   * the objective must have passed.
   */
  private static final double EXPECTED_FACTOR = 2.0;

  /** Multiple of the role's mean wait that is added to the bound by the expected time. */
  private static final double ROLE_WAIT_FACTOR = 5.0;

  /** Share of the timeout after which the answer of a read is suspected to be lost. */
  private static final double SUSPECTED_LOST_SHARE = 0.8;

  /**
   * Multiple of the time of the slowest recent read after which the answer of a read at a silent
   * server is suspected to be lost.
   */
  private static final double SLOWEST_READ_FACTOR = 2.0;

  /** If a server has answered within this time, its silence since then can be detected. */
  private static final long RECENT_ANSWER_MICROS = 1_000_000L;

  /**
   * Number of recently answered reads of the role that is enough to judge a server that has not
   * answered recently itself.
   */
  private static final double MIN_ROLE_READS = 5;

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

  /**
   * Starts the attempt's timeout. The bound by the latency objective is a share of the remaining
   * objective; after earlier attempts of the request timed out, it is that share of the whole
   * objective, doubled for each of them.
   */
  void start(InFlightRequest request, Attempt attempt) {
    if (!mayCancel || RetryPolicy.isNonRepeatableWrite(request, attempt)) {
      return;
    }
    long earlierTimeouts = request.timedOutAttempts();
    double baseMicros =
        earlierTimeouts == 0
            ? request.remainingObjectiveMicros(clock.nowMicros())
            : request.objectiveMicros() * (1L << earlierTimeouts);
    long timeoutMicros =
        (long) Math.max(1, Math.max(baseMicros * OBJECTIVE_SHARE, slowThresholdMicros(attempt)));
    attempt.setTimeoutAtMicros(clock.nowMicros() + timeoutMicros);
    host.setTimer(RequestTimer.ATTEMPT_TIMEOUT.token(request.id()), timeoutMicros);
  }

  /**
   * Handles a timer set by {@link #start}: cancels the request's last attempt if it has timed out,
   * or starts its timeout again if the server has answered older work meanwhile.
   */
  void timerFired(InFlightRequest request) {
    Attempt attempt = request.lastAttempt();
    if (!isTimeoutDue(request, attempt)) {
      return;
    }
    if (attempt.hasQueueProgressedSinceTimeoutStart()) {
      attempt.extendTimeout(clock.nowMicros());
      start(request, attempt);
      return;
    }
    attempt.markTimedOut();
    host.trace(request.id(), DecisionReason.ATTEMPT_TIMEOUT);
    latency.recordTimeout(attempt);
    host.cancel(request.id(), request.attemptCount() - 1);
  }

  private boolean isTimeoutDue(InFlightRequest request, Attempt attempt) {
    return !attempt.hasEnded()
        && !RetryPolicy.isNonRepeatableWrite(request, attempt)
        && clock.nowMicros() >= attempt.timeoutAtMicros()
        && !retryPolicy.attemptsExhausted(request)
        && retryPolicy.hasBudget();
  }

  /**
   * Sets the time after which a read that is being sent is overdue if it gets no answer: shortly
   * before the timeout that cancels the read, or, if it has no timeout, once it is too slow.
   */
  void setOverdueTime(Attempt read) {
    long leftMicros = read.timeoutAtMicros() - clock.nowMicros();
    read.setOverdueAfterMicros(
        leftMicros > 0 ? (long) (leftMicros * SUSPECTED_LOST_SHARE) : slowThresholdMicros(read));
  }

  /**
   * When the answer of a read is suspected to be lost, as far as is known now. That is when the
   * read becomes overdue, or when its server has been silent for too long, regardless of the
   * latency objective: for twice the duration of this read if it waits as long as the slowest
   * recent one.
   *
   * @param minSilenceMicros time without any answer that every server is granted
   */
  long lostAtMicros(InFlightRequest request, Attempt read, long minSilenceMicros) {
    long overdueAtMicros = read.lastQueueProgressAtMicros() + read.overdueAfterMicros();
    if (!isSilenceDetectable(read.server())) {
      return overdueAtMicros;
    }
    double slowestMicros = latency.longestReadMicros(request, read) * SLOWEST_READ_FACTOR;
    long silenceMicros = (long) Math.max(minSilenceMicros, slowestMicros);
    return Math.min(overdueAtMicros, read.lastServerAnswerAtMicros() + silenceMicros);
  }

  /**
   * Whether silence of the server is a sign of failure. If this gateway receives too few answers to
   * know the usual time, a server that has not answered for long may merely be slow.
   */
  private boolean isSilenceDetectable(ServerState server) {
    long now = clock.nowMicros();
    return server.queue().hasAnsweredSince(now - RECENT_ANSWER_MICROS)
        || server.queue().isSilent()
        || server.roleStatistics().answeredReads(now) >= MIN_ROLE_READS;
  }

  /** Time after which an attempt is too slow, by its expected time and the role's mean wait. */
  private static long slowThresholdMicros(Attempt attempt) {
    return (long)
        (attempt.expectedMicros() * EXPECTED_FACTOR
            + attempt.server().roleStatistics().waitMicros() * ROLE_WAIT_FACTOR);
  }
}
