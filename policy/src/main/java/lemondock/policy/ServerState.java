package lemondock.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * One server process: what the endpoint list says of it and what this gateway has seen of it. Each
 * group of fields is written by one class only, which is named at the group. Times in microseconds.
 */
final class ServerState {
  private static final long DEFAULT_MEMORY_TOKENS = 100_000L;

  private final ServerKind kind;
  private final RoleStatistics roleStatistics;

  // Written by ServerTable.
  private ServerEntry entry;
  private ServerLifecycle lifecycle;

  // Written by ServerModel.
  private final ServerQueue queue = new ServerQueue();

  // Written by AdaptiveCapacityLimit.
  private long writeTokensInFlight;

  // Written by OutlierDetector: how many attempts failed and succeeded of late.
  private final DecayingValue failures = new DecayingValue(OutlierDetector.SCORE_LIFE_MICROS);
  private final DecayingValue successes = new DecayingValue(OutlierDetector.SCORE_LIFE_MICROS);

  // Written by LatencyEstimator.
  private final DecayingValue waitMicros = new DecayingValue(LatencyEstimator.WAIT_LIFE_MICROS);
  private final DecayingValue longestReadWaitMicros =
      new DecayingValue(RoleStatistics.LONGEST_WAIT_LIFE_MICROS);
  private final DecayingValue streamPace = new DecayingValue(LatencyEstimator.PACE_LIFE_MICROS);

  // Written by SlowStart.
  private final DecayingCounter answerRate = new DecayingCounter();
  private final SlowStartCredit slowStartCredit;

  // Written by SessionTable: when a prompt with that prefix was last read here.
  private final Map<Long, Long> prefixUsedAtMicros = new HashMap<>();

  // Written by RendezvousRanking: the rank for the request at hand.
  private double hashRank;

  ServerState(
      ServerEntry entry,
      ServerKind kind,
      RoleStatistics roleStatistics,
      SlowStartCredit slowStartCredit) {
    this.entry = entry;
    this.lifecycle = entry.lifecycle();
    this.kind = kind;
    this.roleStatistics = roleStatistics;
    this.slowStartCredit = slowStartCredit;
  }

  long id() {
    return entry.id();
  }

  /** The server as it was last listed. */
  ServerEntry entry() {
    return entry;
  }

  /** The endpoint list has it so now. */
  void update(ServerEntry listed) {
    entry = listed;
    lifecycle = listed.lifecycle();
  }

  /** The endpoint list does not have it any more. */
  void markGone() {
    lifecycle = ServerLifecycle.GONE;
  }

  ServerLifecycle lifecycle() {
    return lifecycle;
  }

  boolean isReady() {
    return lifecycle == ServerLifecycle.READY;
  }

  ServerRole role() {
    return kind.role();
  }

  RoleStatistics roleStatistics() {
    return roleStatistics;
  }

  /** Tokens that it can hold at a time; a usual size where its kind tells none. */
  long memoryTokens() {
    return kind.memoryTokens() > 0 ? kind.memoryTokens() : DEFAULT_MEMORY_TOKENS;
  }

  ServerQueue queue() {
    return queue;
  }

  /** Tokens of this gateway's writes here. */
  long writeTokensInFlight() {
    return writeTokensInFlight;
  }

  /** Writes have begun, or ended where the number is negative. */
  void addWriteTokensInFlight(long tokens) {
    writeTokensInFlight += tokens;
  }

  DecayingValue failures() {
    return failures;
  }

  DecayingValue successes() {
    return successes;
  }

  /** How long work waits here beyond what it takes by itself, as far as answers have shown. */
  DecayingValue waitMicros() {
    return waitMicros;
  }

  /** The longest that a read which it answered has waited of late, however late the answer was. */
  DecayingValue longestReadWaitMicros() {
    return longestReadWaitMicros;
  }

  /** Time of its streams over the time that their class wants. */
  DecayingValue streamPace() {
    return streamPace;
  }

  /** Attempts answered well. */
  DecayingCounter answerRate() {
    return answerRate;
  }

  SlowStartCredit slowStartCredit() {
    return slowStartCredit;
  }

  /** A prompt with that prefix was read here. */
  void recordPrefix(long prefixId, long nowMicros) {
    prefixUsedAtMicros.put(prefixId, nowMicros);
  }

  /** Whether a prompt with that prefix was read here of late. */
  boolean knowsPrefix(long prefixId) {
    return prefixUsedAtMicros.containsKey(prefixId);
  }

  /** Forgets the prefixes that were last read before that moment. */
  void forgetPrefixesUsedBefore(long micros) {
    prefixUsedAtMicros.values().removeIf(usedAtMicros -> usedAtMicros < micros);
  }

  double hashRank() {
    return hashRank;
  }

  void setHashRank(double rank) {
    hashRank = rank;
  }
}
