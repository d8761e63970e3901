package lemondock.policy;

/**
 * Learns how long work takes when nothing hinders it, and how long it waits in each server's queue
 * beyond that. One sign stands for queues of other gateways' work, slow machines, stalls and
 * silence alike. Times in microseconds.
 */
final class LatencyEstimator {
  /**
   * A first token that takes more than this share of the latency objective is late: the writer has
   * too much.
   */
  static final double LATE_FIRST_TOKEN_SHARE = 0.2;

  /** Wait that a server which rejects an attempt for want of capacity stands for. */
  static final long REJECTED_WAIT_MICROS = 1_000_000L;

  /** Weight of a new stream in a server's pace. */
  private static final double PACE_WEIGHT = 0.15;

  /** Weight of a new wait in a server's. */
  private static final double WAIT_WEIGHT = 0.5;

  /** Waits fall to 1/e in this time. */
  static final long WAIT_LIFE_MICROS = 10_000_000L;

  /** Paces of streams fall to 1/e in this time. */
  static final long PACE_LIFE_MICROS = 8_000_000L;

  private final SlowStart slowStart;
  private final DecisionClock clock;

  LatencyEstimator(SlowStart slowStart, DecisionClock clock) {
    this.slowStart = slowStart;
    this.clock = clock;
  }

  /**
   * How long work waits here beyond what it takes by itself: from what came back last, or from the
   * oldest attempt that is unanswered and not overtaken.
   */
  double estimatedWaitMicros(ServerState server) {
    long now = clock.nowMicros();
    return Math.max(server.waitMicros().at(now), server.queue().overdueMicros(now));
  }

  /** What a read of so many tokens should take here, behind those already in the queue. */
  long expectedReadMicros(ServerState server, long uncachedTokens) {
    double readMicros =
        server.roleStatistics().microsPerReadToken()
            * (server.queue().readTokens() + uncachedTokens)
            / slowStart.relativeSpeed(server);
    return (long) (estimatedWaitMicros(server) + readMicros);
  }

  /**
   * What a read that was sent takes at most, if its server is as slow as any, or itself, was of
   * late and has dropped the text that it had cached.
   */
  double longestReadMicros(InFlightRequest request, Attempt read) {
    RoleStatistics role = read.server().roleStatistics();
    long queuedTokens = read.readQueueTokensAtSend() - read.uncachedTokens();
    long tokens =
        queuedTokens + request.attributes().promptTokens() + ReaderSelector.READ_OVERHEAD_TOKENS;
    double unhinderedMicros =
        role.microsPerReadToken() * tokens / slowStart.relativeSpeed(read.server());
    double waitMicros =
        Math.max(
            role.longestReadWaitMicros(clock.nowMicros()),
            read.server().longestReadWaitMicros().at(clock.nowMicros()));
    return unhinderedMicros + waitMicros;
  }

  /** Load of a writer with the request added: its tokens, weighted by wait, weight and speed. */
  double writeLoad(InFlightRequest request, ServerState server) {
    double lateMicros = request.objectiveMicros() * LATE_FIRST_TOKEN_SHARE;
    double tokens =
        (server.writeTokensInFlight() + request.writeTokens())
            * (1 + estimatedWaitMicros(server) / lateMicros);
    return tokens / (server.entry().weight() * slowStart.relativeSpeed(server));
  }

  /** The server has answered an attempt, well or not: its pace fades until now. */
  void recordAnswer(ServerState server) {
    long now = clock.nowMicros();
    server.streamPace().set(server.streamPace().at(now), now);
  }

  /** An attempt that is cancelled now has waited at least so long. */
  void recordTimeout(Attempt attempt) {
    recordWait(
        attempt.server(), clock.nowMicros() - attempt.sentAtMicros() - attempt.expectedMicros());
  }

  /** The server rejected an attempt for want of capacity. */
  void recordRejection(ServerState server) {
    recordWait(server, REJECTED_WAIT_MICROS);
  }

  /** A read has ended; the tokens are those that the server really had to read. */
  void recordRead(Attempt attempt, long uncachedTokens, long elapsedMicros) {
    double queuedTokens =
        attempt.readQueueTokensAtSend() - attempt.uncachedTokens() + uncachedTokens;
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

  /** The first token of an answer has come. */
  void recordFirstToken(Attempt attempt, long timeToFirstTokenMicros) {
    if (attempt.reads()) {
      recordRead(attempt, attempt.uncachedTokens(), timeToFirstTokenMicros);
      return;
    }
    RoleStatistics role = attempt.server().roleStatistics();
    role.recordFirstToken(timeToFirstTokenMicros);
    recordWait(attempt.server(), timeToFirstTokenMicros - role.firstTokenMicros());
  }

  /** A stream has ended: its time over the time that its class wants. */
  void recordStreamPace(InFlightRequest request, Attempt attempt, long elapsedMicros) {
    long wantedMicros =
        request.answerTokens() * request.requestClass().tokenIntervalObjectiveMicros();
    double pace = (elapsedMicros - attempt.timeToFirstTokenMicros()) / Math.max(1.0, wantedMicros);
    long now = clock.nowMicros();
    DecayingValue known = attempt.server().streamPace();
    known.set(known.at(now) + PACE_WEIGHT * (pace - known.at(now)), now);
    attempt.server().roleStatistics().recordStreamPace(pace);
  }

  private void recordWait(ServerState server, double waitMicros) {
    double wait = Math.max(0, waitMicros);
    long now = clock.nowMicros();
    double known = server.waitMicros().at(now);
    server.waitMicros().set(known + WAIT_WEIGHT * (wait - known), now);
    server.roleStatistics().recordWait(wait);
  }
}
