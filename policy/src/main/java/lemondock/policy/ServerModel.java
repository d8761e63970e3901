package lemondock.policy;

import java.util.SplittableRandom;

/** The servers known and what is estimated of them, as one unit for the classes that choose. */
record ServerModel(
    ServerTable table, SlowStart slowStart, OutlierDetector outliers, LatencyEstimator latency) {

  static ServerModel create(RouterSettings settings, SplittableRandom random, DecisionClock clock) {
    ServerTable table = new ServerTable(settings.serverKinds(), random, clock);
    SlowStart slowStart = new SlowStart(settings, table, clock);
    LatencyEstimator latency = new LatencyEstimator(slowStart, clock);
    return new ServerModel(table, slowStart, new OutlierDetector(clock), latency);
  }

  /** An attempt goes to its server. */
  void recordSent(Attempt attempt) {
    ServerState server = attempt.server;
    server.readTokensInFlight += attempt.uncachedTokens;
    attempt.readQueueTokensAtSend = server.readTokensInFlight;
    server.unansweredAttempts.add(attempt);
    slowStart.spendCredit(server, attempt.tokens);
  }

  /** An attempt's answer has begun, or the attempt has ended. */
  void recordAnswer(Attempt attempt, AttemptVerdict verdict) {
    ServerState server = attempt.server;
    boolean first = server.unansweredAttempts.remove(attempt);
    if (first) {
      server.readTokensInFlight -= attempt.uncachedTokens;
    }
    if (verdict == AttemptVerdict.NEUTRAL) {
      return;
    }
    boolean success = verdict == AttemptVerdict.SUCCESS;
    outliers.recordOutcome(server, success);
    latency.recordAnswer(attempt, success);
    if (first && success) {
      slowStart.recordAnswer(server);
    }
  }
}
