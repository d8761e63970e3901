package lemondock.anomaly;

/**
 * Weighs requests that got what was wanted against those that did not, and says whether service has
 * fallen. No clock, no I/O; time is passed in and never goes back.
 */
public interface DetectionEvidence {
  /**
   * Takes what came in since the last call.
   *
   * @param now microseconds
   * @param good requests answered within the wanted time
   * @param bad requests lost or late
   */
  void add(long now, long good, long bad);

  /**
   * Whether service counts as fallen; it is so until the evidence for the contrary is as strong.
   */
  boolean fallen();

  /** How near to telling of a fall: 0 nothing speaks for it, 1 and above tells. */
  double level();

  /** The share of bad requests that counts as usual. */
  double usualLoss();
}
