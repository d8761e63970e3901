package lemondock.policy;

/**
 * Statistics over all servers of one role. They are used where too little is known of a single
 * server, because one gateway of many sees each server too rarely. Times are in microseconds.
 */
final class RoleStatistics {
  /** Weight of a new outcome, wait or stream time ratio in its moving average. */
  static final double WEIGHT = 0.1;

  private static final double INITIAL_MICROS_PER_READ_TOKEN = 100;
  private static final double INITIAL_FIRST_TOKEN_MICROS = 50_000;

  /** Weight of a new sample that is below the tracked minimum. */
  private static final double FASTER_WEIGHT = 0.3;

  /** Largest factor by which one sample above the tracked minimum raises the minimum. */
  private static final double SLOWER_FACTOR = 1.1;

  /** The longest wait decays to 1/e in this time. */
  static final long LONGEST_WAIT_DECAY_MICROS = 10_000_000L;

  /** The count of answered reads decays to 1/e in this time. */
  private static final long ANSWERED_READS_DECAY_MICROS = 1_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  // Written by LatencyEstimator.
  private double microsPerReadToken = INITIAL_MICROS_PER_READ_TOKEN;
  private double firstTokenMicros = INITIAL_FIRST_TOKEN_MICROS;
  private double streamTimeRatio;
  private double waitMicros;
  private int waitCount;
  private final DecayingValue longestReadWaitMicros = new DecayingValue(LONGEST_WAIT_DECAY_MICROS);
  private final DecayingValue answeredReads = new DecayingValue(ANSWERED_READS_DECAY_MICROS);

  // Written by OutlierDetector.
  private double failureRate;

  // Written by SlowStart; ServerTable invalidates it.
  private double warmAnswersPerSecond;
  private long warmRateComputedAtMicros = NEVER;

  /** Time to read one token, without queueing. */
  double microsPerReadToken() {
    return microsPerReadToken;
  }

  /** Records the time per token of one read. */
  void recordReadSpeed(double sampleMicrosPerToken) {
    microsPerReadToken = trackMinimum(microsPerReadToken, sampleMicrosPerToken);
  }

  /** Time from sending a write to its first token, without queueing. */
  double firstTokenMicros() {
    return firstTokenMicros;
  }

  /** Records the time from sending one write to its first token. */
  void recordFirstToken(double sampleMicros) {
    firstTokenMicros = trackMinimum(firstTokenMicros, sampleMicros);
  }

  /** Tracks the time that work takes without queueing: falls quickly, rises slowly. */
  private static double trackMinimum(double minimum, double sample) {
    return sample < minimum
        ? minimum + FASTER_WEIGHT * (sample - minimum)
        : Math.min(sample, minimum * SLOWER_FACTOR);
  }

  /** Mean duration of streams, relative to the objective of their class; above 1 is too slow. */
  double streamTimeRatio() {
    return streamTimeRatio;
  }

  /** Records the duration of one stream, relative to the objective of its class. */
  void recordStreamTime(double ratio) {
    streamTimeRatio += WEIGHT * (ratio - streamTimeRatio);
  }

  /** Mean time that work waits in the servers' queues. */
  double waitMicros() {
    return waitMicros;
  }

  void recordWait(double sampleMicros) {
    waitCount++;
    waitMicros += Math.max(WEIGHT, 1.0 / waitCount) * (sampleMicros - waitMicros);
  }

  /**
   * The longest recent wait of a read that was answered. Reads that were cancelled or suspected to
   * be lost do not count, because they show the length of an outage, not of a queue.
   */
  double longestReadWaitMicros(long nowMicros) {
    return longestReadWaitMicros.at(nowMicros);
  }

  /** Decaying count of answered reads: how many recent ones the longest wait is based on. */
  double answeredReads(long nowMicros) {
    return answeredReads.at(nowMicros);
  }

  /** Records the wait of a read that was answered. */
  void recordReadWait(double sampleMicros, long nowMicros) {
    longestReadWaitMicros.raiseTo(sampleMicros, nowMicros);
    answeredReads.set(answeredReads.at(nowMicros) + 1, nowMicros);
  }

  /** Share of attempts that fail, from 0 to 1. */
  double failureRate() {
    return failureRate;
  }

  void recordOutcome(boolean success) {
    failureRate += WEIGHT * ((success ? 0 : 1) - failureRate);
  }

  /** Answers per second that one warm server sends to this gateway, as last computed. */
  double warmAnswersPerSecond() {
    return warmAnswersPerSecond;
  }

  /** Whether the rate was already computed at this time and need not be computed again. */
  boolean isWarmRateCurrent(long nowMicros) {
    return warmRateComputedAtMicros == nowMicros;
  }

  void setWarmRate(double answersPerSecond, long nowMicros) {
    warmAnswersPerSecond = answersPerSecond;
    warmRateComputedAtMicros = nowMicros;
  }

  /** Discards the rate, so that it is computed again even within the current event. */
  void invalidateWarmRate() {
    warmRateComputedAtMicros = NEVER;
  }
}
