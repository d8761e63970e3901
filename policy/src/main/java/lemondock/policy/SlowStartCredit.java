package lemondock.policy;

/**
 * Token bucket of one server in slow start: how many requests of mean size this gateway may still
 * send to it. Written by {@link SlowStart} only.
 */
final class SlowStartCredit {
  private static final double MAX_REQUESTS = 1;
  private static final double MICROS_PER_SECOND = 1e6;

  private double requests;
  private long earnedAtMicros;

  SlowStartCredit(double requests, long nowMicros) {
    this.requests = requests;
    this.earnedAtMicros = nowMicros;
  }

  /** Adds the credit earned since the last call at this rate, up to {@link #MAX_REQUESTS}. */
  void earn(double requestsPerSecond, long nowMicros) {
    long elapsedMicros = nowMicros - earnedAtMicros;
    requests =
        Math.min(MAX_REQUESTS, requests + requestsPerSecond * elapsedMicros / MICROS_PER_SECOND);
    earnedAtMicros = nowMicros;
  }

  /** Subtracts the cost of a request; the credit may become negative. */
  void spend(double cost) {
    requests -= cost;
  }

  /** Whether there is credit for a request of mean size. */
  boolean hasRequestCredit() {
    return requests >= 1;
  }
}
