package lemondock.policy;

/**
 * Ejects servers whose attempts fail more often than those of their role: fast errors, a crash,
 * lost answers, a cut link. The role's failure rate stands in for what was not seen and counts as
 * normal. Scores fade with time, so that an ejected server is tried again, with one attempt at a
 * time (half-open). Slowness is no failure. It can wrong a server whose requests fail for their own
 * sake.
 */
final class OutlierDetector {
  /** Weight of a server's older outcomes at each new one. */
  private static final double OLDER_OUTCOMES_WEIGHT = 0.7;

  /** Outcomes of the role that stand in for unseen ones. */
  private static final double PRIOR_OUTCOMES = 2.0;

  /** Failure rate above the role's that ejects a server. */
  private static final double EJECTION_EXCESS = 0.3;

  /** Failure rate above the role's with which a server gets one attempt at a time. */
  private static final double TRIAL_EXCESS = 0.12;

  /** Scores fall to 1/e in this time. */
  static final long SCORE_LIFE_MICROS = 8_000_000L;

  private final DecisionClock clock;

  OutlierDetector(DecisionClock clock) {
    this.clock = clock;
  }

  boolean isHealthy(ServerState server) {
    double excess = failureRate(server) - server.roleStatistics().failureRate();
    return excess < TRIAL_EXCESS || excess < EJECTION_EXCESS && server.queue().isEmpty();
  }

  void recordOutcome(ServerState server, boolean success) {
    server.roleStatistics().recordOutcome(success);
    addOutcome(server.failures(), !success);
    addOutcome(server.successes(), success);
  }

  private void addOutcome(DecayingValue score, boolean counts) {
    long now = clock.nowMicros();
    score.set(score.at(now) * OLDER_OUTCOMES_WEIGHT + (counts ? 1 : 0), now);
  }

  private double failureRate(ServerState server) {
    double failures = server.failures().at(clock.nowMicros());
    double successes = server.successes().at(clock.nowMicros());
    return (failures + PRIOR_OUTCOMES * server.roleStatistics().failureRate())
        / (failures + successes + PRIOR_OUTCOMES);
  }
}
