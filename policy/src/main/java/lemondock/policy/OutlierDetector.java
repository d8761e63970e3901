package lemondock.policy;

/**
 * Ejects servers whose attempts fail more often than the average of their role, because of fast
 * errors, a crash, lost answers or a broken link. The role's failure rate counts as normal and
 * serves as the prior for a server with few outcomes. Scores decay with time, so that an ejected
 * server is tried again, with one attempt at a time (half-open). A slow answer is not a failure,
 * but an attempt that timed out is. A healthy server can be ejected if the failures are caused by
 * the requests themselves.
 */
final class OutlierDetector {
  /** Factor by which each new outcome reduces the weight of a server's older ones. */
  private static final double OLDER_OUTCOMES_WEIGHT = 0.7;

  /** Weight of the role's failure rate as a prior, as a number of outcomes. */
  private static final double PRIOR_OUTCOMES = 2.0;

  /** A server is ejected if its failure rate exceeds the role's by this much. */
  private static final double EJECTION_EXCESS = 0.3;

  /**
   * A server gets only one attempt at a time if its failure rate exceeds the role's by this much.
   */
  private static final double TRIAL_EXCESS = 0.12;

  /** Scores decay to 1/e in this time. */
  static final long SCORE_DECAY_MICROS = 8_000_000L;

  private final DecisionClock clock;

  OutlierDetector(DecisionClock clock) {
    this.clock = clock;
  }

  /** Whether the server is not ejected and, in a half-open trial, has no unanswered attempt. */
  boolean isHealthy(ServerState server) {
    double excess = failureRate(server) - server.roleStatistics().failureRate();
    return excess < TRIAL_EXCESS || excess < EJECTION_EXCESS && server.queue().isEmpty();
  }

  void recordOutcome(ServerState server, boolean success) {
    server.roleStatistics().recordOutcome(success);
    addOutcome(server.failures(), !success);
    addOutcome(server.successes(), success);
  }

  private void addOutcome(DecayingValue score, boolean occurred) {
    long now = clock.nowMicros();
    score.set(score.at(now) * OLDER_OUTCOMES_WEIGHT + (occurred ? 1 : 0), now);
  }

  private double failureRate(ServerState server) {
    double failures = server.failures().at(clock.nowMicros());
    double successes = server.successes().at(clock.nowMicros());
    return (failures + PRIOR_OUTCOMES * server.roleStatistics().failureRate())
        / (failures + successes + PRIOR_OUTCOMES);
  }
}
