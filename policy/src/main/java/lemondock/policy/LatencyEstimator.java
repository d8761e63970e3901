package lemondock.policy;

/**
 * Learns the service time of work, that is its duration without queueing, and how much longer it
 * waits at each server. One measure of waiting covers queued work of other gateways, slow machines,
 * stalls and silent servers alike. Times are in microseconds.
 */
final class LatencyEstimator {
  /**
   * A first token that takes more than this share of the latency objective is late: the writer is
   * overloaded.
   */
  static final double LATE_FIRST_TOKEN_SHARE = 0.2;

  /** Wait that is recorded for a server that rejects an attempt for lack of capacity. */
  static final long REJECTED_WAIT_MICROS = 1_000_000L;

  /** Weight of a new stream in the moving average of a server's stream time ratio. */
  private static final double STREAM_TIME_WEIGHT = 0.15;

  /** Weight of a new wait in the moving average of a server's wait. */
  private static final double WAIT_WEIGHT = 0.5;

  /** Waits decay to 1/e in this time. */
  static final long WAIT_DECAY_MICROS = 10_000_000L;

  /** Stream time ratios decay to 1/e in this time. */
  static final long STREAM_TIME_DECAY_MICROS = 8_000_000L;

  private final SlowStart slowStart;
  private final DecisionClock clock;

  LatencyEstimator(SlowStart slowStart, DecisionClock clock) {
    this.slowStart = slowStart;
    this.clock = clock;
  }

  /**
   * How long work waits at the server beyond its service time: estimated from the last answers or,
   * if that is longer, from the oldest unanswered attempt that no later one has overtaken.
   */
  double estimatedWaitMicros(ServerState server) {
    long now = clock.nowMicros();
    return Math.max(server.waitMicros().at(now), server.queue().excessMicros(now));
  }

  /**
   * Expected duration of a read of these tokens, overhead included, behind the reads already in the
   * queue.
   */
  long expectedReadMicros(ServerState server, long readTokens) {
    double readMicros =
        server.roleStatistics().microsPerReadToken()
            * (server.queue().readTokens() + readTokens)
            / slowStart.relativeSpeed(server);
    return (long) (estimatedWaitMicros(server) + readMicros);
  }

  /**
   * Upper bound of the duration of a read that was sent, if it waits as long as the longest recent
   * read at its server or at any server of the role, and if the server has evicted the text that it
   * had cached.
   */
  double longestReadMicros(InFlightRequest request, Attempt read) {
    RoleStatistics role = read.server().roleStatistics();
    long queuedTokens = read.readQueueTokensAtSend() - read.readTokens();
    long tokens =
        queuedTokens + request.attributes().promptTokens() + ReaderSelector.READ_OVERHEAD_TOKENS;
    double serviceMicros =
        role.microsPerReadToken() * tokens / slowStart.relativeSpeed(read.server());
    double waitMicros =
        Math.max(
            role.longestReadWaitMicros(clock.nowMicros()),
            read.server().longestReadWaitMicros().at(clock.nowMicros()));
    return serviceMicros + waitMicros;
  }

  /**
   * Load of a writer with the request added: its tokens, scaled up by its wait and divided by its
   * weight and its speed.
   */
  double writeLoad(InFlightRequest request, ServerState server) {
    double lateMicros = request.objectiveMicros() * LATE_FIRST_TOKEN_SHARE;
    double tokens =
        (server.writeTokensInFlight() + request.writeTokens())
            * (1 + estimatedWaitMicros(server) / lateMicros);
    return tokens / (server.entry().weight() * slowStart.relativeSpeed(server));
  }

  /**
   * Applies the decay of the server's stream time ratio up to now, after an attempt that the server
   * answered, successfully or not.
   */
  void recordAnswer(ServerState server) {
    long now = clock.nowMicros();
    server.streamTimeRatio().set(server.streamTimeRatio().at(now), now);
  }

  /** Records the wait so far of an attempt that is cancelled now, a lower bound of its wait. */
  void recordTimeout(Attempt attempt) {
    recordWait(
        attempt.server(), clock.nowMicros() - attempt.sentAtMicros() - attempt.expectedMicros());
  }

  /** Records a wait for a server that rejected an attempt for lack of capacity. */
  void recordRejection(ServerState server) {
    recordWait(server, REJECTED_WAIT_MICROS);
  }

  /**
   * Records a read that has ended, with the tokens that the server actually had to read, overhead
   * included.
   */
  void recordRead(Attempt attempt, long readTokens, long elapsedMicros) {
    double queuedTokens = attempt.readQueueTokensAtSend() - attempt.readTokens() + readTokens;
    double speed = slowStart.relativeSpeed(attempt.server());
    RoleStatistics role = attempt.server().roleStatistics();
    role.recordReadSpeed(elapsedMicros * speed / queuedTokens);
    double waitMicros = elapsedMicros - role.microsPerReadToken() * queuedTokens / speed;
    recordWait(attempt.server(), waitMicros);
    attempt.server().longestReadWaitMicros().raiseTo(waitMicros, clock.nowMicros());
    if (!attempt.isSuspectedLost()) {
      role.recordReadWait(waitMicros, clock.nowMicros());
    }
  }

  /** Records the time until the first token of an answer. */
  void recordFirstToken(Attempt attempt, long timeToFirstTokenMicros) {
    if (attempt.reads()) {
      recordRead(attempt, attempt.readTokens(), timeToFirstTokenMicros);
      return;
    }
    RoleStatistics role = attempt.server().roleStatistics();
    role.recordFirstToken(timeToFirstTokenMicros);
    recordWait(attempt.server(), timeToFirstTokenMicros - role.firstTokenMicros());
  }

  /** Records the duration of a stream that has ended, relative to the objective of its class. */
  void recordStreamTime(InFlightRequest request, Attempt attempt, long elapsedMicros) {
    long streamObjectiveMicros =
        request.answerTokens() * request.requestClass().tokenIntervalObjectiveMicros();
    double ratio =
        (elapsedMicros - attempt.timeToFirstTokenMicros()) / Math.max(1.0, streamObjectiveMicros);
    long now = clock.nowMicros();
    DecayingValue known = attempt.server().streamTimeRatio();
    known.set(known.at(now) + STREAM_TIME_WEIGHT * (ratio - known.at(now)), now);
    attempt.server().roleStatistics().recordStreamTime(ratio);
  }

  private void recordWait(ServerState server, double waitMicros) {
    double wait = Math.max(0, waitMicros);
    long now = clock.nowMicros();
    double known = server.waitMicros().at(now);
    server.waitMicros().set(known + WAIT_WEIGHT * (wait - known), now);
    server.roleStatistics().recordWait(wait);
  }
}
