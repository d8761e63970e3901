/**
 * Detection of degraded service from counts: a CUSUM change-point test and a burn rate of the error
 * budget. No clock, no I/O; time is passed in.
 */
package lemondock.anomaly;
