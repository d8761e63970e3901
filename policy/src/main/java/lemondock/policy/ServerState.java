package lemondock.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * One server process: what the endpoint list reports about it and what this gateway has observed. A
 * comment at each group of fields names the classes that write them. Times are in microseconds.
 */
final class ServerState {
  private static final long DEFAULT_MEMORY_TOKENS = 100_000L;

  private final ServerKind kind;
  private final RoleStatistics roleStatistics;

  // Written by ServerTable.
  private ServerEntry entry;
  private ServerLifecycle lifecycle;

  // Written by ServerModel; StateReleasePolicy records suspected lost reads in it.
  private final ServerQueue queue = new ServerQueue();

  // Written by AdaptiveCapacityLimit.
  private long writeTokensInFlight;

  // Written by OutlierDetector: how many attempts failed and succeeded recently.
  private final DecayingValue failures = new DecayingValue(OutlierDetector.SCORE_DECAY_MICROS);
  private final DecayingValue successes = new DecayingValue(OutlierDetector.SCORE_DECAY_MICROS);

  // Written by LatencyEstimator.
  private final DecayingValue waitMicros = new DecayingValue(LatencyEstimator.WAIT_DECAY_MICROS);
  private final DecayingValue longestReadWaitMicros =
      new DecayingValue(RoleStatistics.LONGEST_WAIT_DECAY_MICROS);
  private final DecayingValue streamTimeRatio =
      new DecayingValue(LatencyEstimator.STREAM_TIME_DECAY_MICROS);

  // Written by SlowStart.
  private final DecayingCounter answerRate = new DecayingCounter();
  private final SlowStartCredit slowStartCredit;

  // Written by SessionTable: the time, by prefix id, at which the prefix was last read here.
  private final Map<Long, Long> prefixUsedAtMicros = new HashMap<>();

  // Written by RendezvousRanking: the sort key for the current request.
  private double hashScore;

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

  /** The latest entry of the server in the endpoint list. */
  ServerEntry entry() {
    return entry;
  }

  /** Applies a newer entry of the endpoint list. */
  void update(ServerEntry listed) {
    entry = listed;
    lifecycle = listed.lifecycle();
  }

  /** Marks a server that is missing from the endpoint list. */
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

  /** Tokens that the server can hold at a time; a typical size if its kind does not specify it. */
  long memoryTokens() {
    return kind.memoryTokens() > 0 ? kind.memoryTokens() : DEFAULT_MEMORY_TOKENS;
  }

  ServerQueue queue() {
    return queue;
  }

  /** Tokens of this gateway's writes in flight at the server. */
  long writeTokensInFlight() {
    return writeTokensInFlight;
  }

  /** Adds the tokens of a write that is sent; negative for a write that has ended. */
  void addWriteTokensInFlight(long tokens) {
    writeTokensInFlight += tokens;
  }

  DecayingValue failures() {
    return failures;
  }

  DecayingValue successes() {
    return successes;
  }

  /**
   * Moving average of how long work waits here beyond its service time, as shown by attempts that
   * were answered, rejected or cancelled.
   */
  DecayingValue waitMicros() {
    return waitMicros;
  }

  /** The longest recent wait of a read that the server answered, suspected lost reads included. */
  DecayingValue longestReadWaitMicros() {
    return longestReadWaitMicros;
  }

  /**
   * Moving average of the duration of the server's streams, relative to the objective of their
   * class.
   */
  DecayingValue streamTimeRatio() {
    return streamTimeRatio;
  }

  /** Attempts that the server answered successfully. */
  DecayingCounter answerRate() {
    return answerRate;
  }

  SlowStartCredit slowStartCredit() {
    return slowStartCredit;
  }

  /** Records that a prompt with this prefix was read here. */
  void recordPrefix(long prefixId, long nowMicros) {
    prefixUsedAtMicros.put(prefixId, nowMicros);
  }

  /** Whether a prompt with this prefix was read here recently. */
  boolean hasRecentPrefix(long prefixId) {
    return prefixUsedAtMicros.containsKey(prefixId);
  }

  /** Evicts the prefixes that were last read before this time. */
  void evictPrefixesUsedBefore(long micros) {
    prefixUsedAtMicros.values().removeIf(usedAtMicros -> usedAtMicros < micros);
  }

  /** Sort key of the server for the current request; the lowest comes first. */
  double hashScore() {
    return hashScore;
  }

  void setHashScore(double score) {
    hashScore = score;
  }
}
