package lemondock.anomaly;

/**
 * Decides from counts of good and bad requests whether service has degraded. Reads no clock and
 * does no I/O; callers pass in the time, which must not go back. Not thread-safe.
 */
public interface ChangeDetector {
  /**
   * Processes the requests since the last call.
   *
   * @param nowMicros the current time
   * @param good requests that met their latency objective
   * @param bad requests that missed it or failed
   */
  void observe(long nowMicros, long good, long bad);

  /** Returns whether service counts as degraded; the decision has hysteresis. */
  boolean isDegraded();

  /** Returns the evidence of a degradation: 0 is none, from 1 on service counts as degraded. */
  double evidence();

  /** Returns the share of bad requests that counts as normal, 0 to 1. */
  double baselineLossRatio();
}
