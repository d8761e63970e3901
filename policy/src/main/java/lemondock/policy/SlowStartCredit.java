package lemondock.policy;

/**
 * Token bucket of one server in slow start: the mean requests that this gateway may still send to
 * it. Written by {@link SlowStart}.
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

  /** Adds what was earned since the last call, at that rate. */
  void earn(double requestsPerSecond, long nowMicros) {
    long elapsedMicros = nowMicros - earnedAtMicros;
    requests =
        Math.min(MAX_REQUESTS, requests + requestsPerSecond * elapsedMicros / MICROS_PER_SECOND);
    earnedAtMicros = nowMicros;
  }

  void spend(double cost) {
    requests -= cost;
  }

  boolean holdsRequest() {
    return requests >= 1;
  }
}
