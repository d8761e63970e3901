package lemondock.policy;

/**
 * What has to be done before the process may be killed, after a graceful shutdown has begun. A
 * request that came in time may be under way at the kill, so it keeps its own deadline and nothing
 * ends its stream. A request that came later must not be: it gets its final answer before, and its
 * stream is ended if its server hangs. Does nothing before the shutdown.
 */
final class ShutdownDeadline {
  /**
   * Time before the process may be killed that is reserved for the last answers to reach clients.
   */
  static final long MARGIN_MICROS = 300_000L;

  /**
   * Time after the termination notice from which a new request must not be under way at the kill.
   */
  private static final long LATE_REQUEST_MICROS = 700_000L;

  /** How much later than it happened this process may learn of the notice or of a request. */
  private static final long ARRIVAL_UNCERTAINTY_MICROS = 150_000L;

  /**
   * Number of token intervals, as the class aims at, without an event after which a stream counts
   * as hung.
   */
  private static final int HUNG_STREAM_INTERVALS = 5;

  /** Least time without an event after which a stream counts as hung. */
  private static final long MIN_HUNG_STREAM_MICROS = 250_000L;

  /** Multiple of a stream's own longest gap after which it counts as hung. */
  private static final int HUNG_STREAM_GAPS = 2;

  /** Interval of the checks for hung streams. */
  private static final long HUNG_STREAM_CHECK_MICROS = 50_000L;

  private static final long NEVER = Long.MAX_VALUE;

  private final DecisionClock clock;
  private final RouterHost host;
  private final StreamSlowness slowness;
  private long startedAtMicros;
  private long killedAtMicros = NEVER;

  ShutdownDeadline(DecisionClock clock, RouterHost host, int classCount) {
    this.clock = clock;
    this.host = host;
    this.slowness = new StreamSlowness(classCount);
  }

  /** Learns from a stream that has ended successfully; called before a shutdown, too. */
  void recordStream(InFlightRequest request, Attempt attempt) {
    long beganAtMicros = attempt.sentAtMicros() + attempt.timeToFirstTokenMicros();
    slowness.record(request, clock.nowMicros() - beganAtMicros, clock.nowMicros());
  }

  /** Records that the shutdown has begun, and when the process may be killed. */
  void shutdownStarted(long killedAt) {
    startedAtMicros = clock.nowMicros();
    killedAtMicros = killedAt;
  }

  /** Sets a further deadline timer for a new request that must not be under way at the kill. */
  void setTimer(InFlightRequest request) {
    if (hasComeLate(request)) {
      host.setTimer(RequestTimer.DEADLINE.token(request.id()), Math.max(0, leftMicros()));
    }
  }

  /** Time until the last answers are due; negative from then on. */
  private long leftMicros() {
    return killedAtMicros - MARGIN_MICROS - clock.nowMicros();
  }

  /**
   * Whether a new request is rejected: if it may be under way at the kill, or if it is uncertain
   * whether it came in time. What came in time must not be ended, what came later must be.
   */
  boolean rejects(InFlightRequest request) {
    return mayBeOutlivedBy(request) || mayHaveComeLate(request) && !hasComeLate(request);
  }

  private boolean mayHaveComeLate(InFlightRequest request) {
    return sinceNoticeMicros(request) > LATE_REQUEST_MICROS - ARRIVAL_UNCERTAINTY_MICROS;
  }

  private boolean hasComeLate(InFlightRequest request) {
    return sinceNoticeMicros(request) > LATE_REQUEST_MICROS + ARRIVAL_UNCERTAINTY_MICROS;
  }

  /** Time from the notice to the request's arrival; negative without a shutdown. */
  private long sinceNoticeMicros(InFlightRequest request) {
    return killedAtMicros == NEVER ? -1 : request.arrivedAtMicros() - startedAtMicros;
  }

  /**
   * Whether the request could still be streaming when the process may be killed, if its first token
   * comes at the client's timeout and its answer has the maximum length. The answer to a late
   * request is expected to be as slow as the slowest recent one, and has to end before the margin.
   */
  private boolean mayBeOutlivedBy(InFlightRequest request) {
    long longestAnswerMicros =
        hasComeLate(request)
            ? slowness.longestStreamMicros(request, clock.nowMicros()) + MARGIN_MICROS
            : StreamSlowness.streamObjectiveMicros(request);
    long longestMicros = request.attributes().clientTimeoutMicros() + longestAnswerMicros;
    return killedAtMicros < NEVER && clock.nowMicros() + longestMicros > killedAtMicros;
  }

  /**
   * Handles the deadline timer of a request that is streaming and came late: once the last answers
   * are due, ends the stream if its server has fallen silent, so that its client knows that the
   * answer has failed. A stream that is still written goes on, as it may be complete in time, and
   * is checked again.
   */
  void streamTimerFired(InFlightRequest request) {
    if (!hasComeLate(request) || leftMicros() > 0) {
      return;
    }
    long intervalMicros = request.requestClass().tokenIntervalObjectiveMicros();
    long minSilenceMicros =
        Math.max(MIN_HUNG_STREAM_MICROS, HUNG_STREAM_INTERVALS * intervalMicros);
    host.endSilentStream(request.id(), new SilenceLimit(minSilenceMicros, HUNG_STREAM_GAPS));
    host.setTimer(RequestTimer.DEADLINE.token(request.id()), HUNG_STREAM_CHECK_MICROS);
  }
}
