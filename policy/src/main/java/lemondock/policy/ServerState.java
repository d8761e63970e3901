package lemondock.policy;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;

/**
 * One server process: what the endpoint list says of it and what this gateway has seen of it. Each
 * group of fields is written by one class only, named above it. Times in microseconds.
 */
final class ServerState {
  private static final long DEFAULT_MEMORY_TOKENS = 100_000L;

  final ServerKind kind;
  final RoleStatistics roleStatistics;

  // ServerTable
  ServerEntry entry;
  ServerLifecycle lifecycle;

  // ServerModel; writeTokensInFlight: AdaptiveCapacityLimit
  final LinkedHashSet<Attempt> unansweredAttempts = new LinkedHashSet<>(); // in order of sending
  long readTokensInFlight;
  long writeTokensInFlight;

  // OutlierDetector
  double failureScore;
  double successScore;
  long scoredAtMicros;

  // LatencyEstimator
  double waitMicros;
  long waitUpdatedAtMicros;
  double streamPace; // time of its streams over the time that their class wants
  long streamPaceUpdatedAtMicros;
  long lastAnswerAtMicros;
  long newestAnsweredSentAtMicros; // of all answered attempts, the latest sending

  // SlowStart
  final DecayingCounter answerRate = new DecayingCounter();
  double slowStartCredit; // mean requests that it may still get
  long slowStartCreditAtMicros;

  // SessionTable: when a prompt with that prefix was last read here
  final Map<Long, Long> prefixUsedAtMicros = new HashMap<>();

  // RendezvousRanking: rank for the request at hand
  double hashRank;

  ServerState(
      ServerKind kind, RoleStatistics roleStatistics, double slowStartCredit, long nowMicros) {
    this.kind = kind;
    this.roleStatistics = roleStatistics;
    this.slowStartCredit = slowStartCredit;
    this.slowStartCreditAtMicros = nowMicros;
  }

  long id() {
    return entry.id();
  }

  ServerRole role() {
    return kind.role();
  }

  boolean isReady() {
    return lifecycle == ServerLifecycle.READY;
  }

  /** Tokens that it can hold at a time; a usual size where its kind tells none. */
  long memoryTokens() {
    return kind.memoryTokens() > 0 ? kind.memoryTokens() : DEFAULT_MEMORY_TOKENS;
  }
}
