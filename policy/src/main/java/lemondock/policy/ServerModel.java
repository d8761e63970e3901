package lemondock.policy;

import java.util.SplittableRandom;

/** The servers known and what is estimated of them, as one unit for the classes that choose. */
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

  /** An attempt goes to its server. */
  void recordSent(Attempt attempt) {
    attempt.server().queue().add(attempt);
    slowStart.spendCredit(attempt.server(), attempt.tokens());
  }

  /** An attempt's answer has begun, or the attempt has ended. */
  void recordAnswer(Attempt attempt, AttemptVerdict verdict) {
    ServerState server = attempt.server();
    final boolean first = server.queue().remove(attempt);
    if (verdict == AttemptVerdict.NEUTRAL) {
      return;
    }
    boolean success = verdict == AttemptVerdict.SUCCESS;
    outliers.recordOutcome(server, success);
    latency.recordAnswer(server);
    if (success) {
      server.queue().recordSuccess(attempt, clock.nowMicros());
    }
    if (first && success) {
      slowStart.recordAnswer(server);
    }
  }
}
