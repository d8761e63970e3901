package lemondock.policy;

import java.util.SplittableRandom;

/** The known servers and the estimates about them, in one object for the classes that use them. */
record ServerModel(
    ServerTable table,
    SlowStart slowStart,
    OutlierDetector outliers,
    LatencyEstimator latency,
    DecisionClock clock) {

  static ServerModel create(RouterSettings settings, SplittableRandom random, DecisionClock clock) {
    ServerTable table = new ServerTable(settings.serverKinds(), random, clock);
    SlowStart slowStart = new SlowStart(settings, table, clock);
    LatencyEstimator latency = new LatencyEstimator(slowStart, clock);
    return new ServerModel(table, slowStart, new OutlierDetector(clock), latency, clock);
  }

  /** Records that an attempt is sent to its server. */
  void recordSent(Attempt attempt) {
    attempt.server().queue().add(attempt);
    slowStart.spendCredit(attempt.server(), attempt.tokens());
  }

  /** Records that an attempt's answer has begun or that the attempt has ended. */
  void recordAnswer(Attempt attempt, AttemptVerdict verdict) {
    ServerState server = attempt.server();
    final boolean wasUnanswered = server.queue().remove(attempt);
    if (verdict == AttemptVerdict.NEUTRAL) {
      return;
    }
    boolean success = verdict == AttemptVerdict.SUCCESS;
    outliers.recordOutcome(server, success);
    latency.recordAnswer(server);
    if (success) {
      server.queue().recordSuccess(attempt, clock.nowMicros());
    }
    if (wasUnanswered && success) {
      slowStart.recordAnswer(server);
    }
  }
}
