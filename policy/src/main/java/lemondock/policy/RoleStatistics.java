package lemondock.policy;

/**
 * What all servers of one role have shown. It stands in for what is not known of a single server:
 * one of many gateways sees each server too rarely. Times in microseconds.
 */
final class RoleStatistics {
  /** Weight of a new outcome, wait or pace. */
  static final double WEIGHT = 0.1;

  private static final double INITIAL_MICROS_PER_READ_TOKEN = 100;
  private static final double INITIAL_FIRST_TOKEN_MICROS = 50_000;

  /** Weight of a faster case in what work takes unhindered. */
  private static final double FASTER_WEIGHT = 0.3;

  /** Growth of what work takes unhindered at each slower case. */
  private static final double SLOWER_FACTOR = 1.1;

  /** The longest wait falls to 1/e in this time. */
  static final long LONGEST_WAIT_LIFE_MICROS = 10_000_000L;

  /** The count of answered reads falls to 1/e in this time. */
  private static final long ANSWERED_READS_LIFE_MICROS = 1_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  // Written by LatencyEstimator.
  private double microsPerReadToken = INITIAL_MICROS_PER_READ_TOKEN;
  private double firstTokenMicros = INITIAL_FIRST_TOKEN_MICROS;
  private double streamPace;
  private double waitMicros;
  private int waitCount;
  private final DecayingValue longestReadWaitMicros = new DecayingValue(LONGEST_WAIT_LIFE_MICROS);
  private final DecayingValue answeredReads = new DecayingValue(ANSWERED_READS_LIFE_MICROS);

  // Written by OutlierDetector.
  private double failureRate;

  // Written by SlowStart; ServerTable invalidates it.
  private double warmAnswersPerSecond;
  private long warmRateComputedAtMicros = NEVER;

  /** Time to read a token when nothing hinders it. */
  double microsPerReadToken() {
    return microsPerReadToken;
  }

  /** A read has taken so long for each token. */
  void recordReadSpeed(double seenMicrosPerToken) {
    microsPerReadToken = trackMinimum(microsPerReadToken, seenMicrosPerToken);
  }

  /** Time from a write's sending to its first token when nothing hinders it. */
  double firstTokenMicros() {
    return firstTokenMicros;
  }

  /** The first token of a write has come so long after its sending. */
  void recordFirstToken(double seenMicros) {
    firstTokenMicros = trackMinimum(firstTokenMicros, seenMicros);
  }

  /** Follows what work takes when nothing is in its way: falls quickly, rises slowly. */
  private static double trackMinimum(double known, double seen) {
    return seen < known
        ? known + FASTER_WEIGHT * (seen - known)
        : Math.min(seen, known * SLOWER_FACTOR);
  }

  /** Time of streams over the time that their class wants. */
  double streamPace() {
    return streamPace;
  }

  void recordStreamPace(double pace) {
    streamPace += WEIGHT * (pace - streamPace);
  }

  /** Mean wait of work in queues. */
  double waitMicros() {
    return waitMicros;
  }

  void recordWait(double wait) {
    waitCount++;
    waitMicros += Math.max(WEIGHT, 1.0 / waitCount) * (wait - waitMicros);
  }

  /**
   * The longest that a read has waited of late until its answer came. Those that were cancelled or
   * taken for lost do not count: they tell how long an outage is, not a queue.
   */
  double longestReadWaitMicros(long nowMicros) {
    return longestReadWaitMicros.at(nowMicros);
  }

  /** Reads that were answered of late, by which the longest wait is judged. */
  double answeredReads(long nowMicros) {
    return answeredReads.at(nowMicros);
  }

  void recordReadWait(double wait, long nowMicros) {
    longestReadWaitMicros.raiseTo(wait, nowMicros);
    answeredReads.set(answeredReads.at(nowMicros) + 1, nowMicros);
  }

  /** Share of attempts that fail. */
  double failureRate() {
    return failureRate;
  }

  void recordOutcome(boolean success) {
    failureRate += WEIGHT * ((success ? 0 : 1) - failureRate);
  }

  /** Answers per second of one warm server to this gateway, as last computed. */
  double warmAnswersPerSecond() {
    return warmAnswersPerSecond;
  }

  /** Whether that rate was computed at this moment, so that it need not be computed again. */
  boolean isWarmRateOf(long nowMicros) {
    return warmRateComputedAtMicros == nowMicros;
  }

  void setWarmRate(double answersPerSecond, long nowMicros) {
    warmAnswersPerSecond = answersPerSecond;
    warmRateComputedAtMicros = nowMicros;
  }

  /** Has the rate computed again within the event at hand. */
  void invalidateWarmRate() {
    warmRateComputedAtMicros = NEVER;
  }
}
