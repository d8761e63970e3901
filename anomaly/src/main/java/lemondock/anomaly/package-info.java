/**
 * Detection of degraded service from counts of good and bad requests.
 *
 * <p>{@link lemondock.anomaly.DegradationDetector} watches all classes and zones, each with a
 * {@link lemondock.anomaly.ChangeDetector}: a CUSUM control chart, or the burn rate of an error
 * budget. No clock, no I/O, nothing but the JDK; time is passed in as microseconds.
 */
package lemondock.anomaly;
