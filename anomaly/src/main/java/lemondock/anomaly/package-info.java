/**
 * Detection of degraded service from counts of good and bad requests.
 *
 * <p>{@link lemondock.anomaly.DegradationDetector} watches all classes and zones, each with its own
 * {@link lemondock.anomaly.ChangeDetector}: a CUSUM control chart, or the burn rate of an error
 * budget. The package reads no clock, does no I/O and depends on nothing but the JDK; callers pass
 * in the time in microseconds.
 */
package lemondock.anomaly;
