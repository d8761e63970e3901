package lemondock.anomaly;

/**
 * Decides from counts of good and bad requests whether service has degraded. No clock, no I/O; time
 * is passed in and must not go back. Not thread-safe.
 */
public interface ChangeDetector {
  /**
   * Takes the requests since the last call.
   *
   * @param nowMicros the current time
   * @param good requests that met their latency objective
   * @param bad requests that missed it or failed
   */
  void observe(long nowMicros, long good, long bad);

  /** Whether service counts as degraded; this has hysteresis. */
  boolean isDegraded();

  /** Evidence of a degradation: 0 is none, from 1 on service counts as degraded. */
  double evidence();

  /** The share of bad requests that counts as usual. */
  double baselineLossRatio();
}
