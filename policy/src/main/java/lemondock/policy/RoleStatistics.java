package lemondock.policy;

/**
 * What all servers of one role have shown. It stands in for what is not known of a single server:
 * one of many gateways sees each server too rarely.
 */
final class RoleStatistics {
  /** Weight of a new outcome, wait or pace. */
  static final double WEIGHT = 0.1;

  private static final double INITIAL_MICROS_PER_READ_TOKEN = 100;
  private static final double INITIAL_FIRST_TOKEN_MICROS = 50_000;
  private static final long NEVER = Long.MIN_VALUE;

  /** Time to read a token, and from a write's sending to its first token, when nothing hinders. */
  double microsPerReadToken = INITIAL_MICROS_PER_READ_TOKEN;

  double firstTokenMicros = INITIAL_FIRST_TOKEN_MICROS;

  /** Share of attempts that fail. */
  double failureRate;

  /** Time of streams over the time that their class wants. */
  double streamPace;

  /** Mean wait of work in queues, and how many waits it was taken from. */
  double waitMicros;

  int waitCount;

  /** Answers per second of one warm server to this gateway, as of the time beside it. */
  double warmAnswersPerSecond;

  long warmRateComputedAtMicros = NEVER;

  void invalidateWarmRate() {
    warmRateComputedAtMicros = NEVER;
  }
}
