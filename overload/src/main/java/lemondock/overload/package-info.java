/**
 * Overload protection of the gateway process itself: admission control by queueing delay ({@link
 * lemondock.overload.Admission}), by memory and file handles ({@link
 * lemondock.overload.ResourcePressure}) and by a retry budget ({@link
 * lemondock.overload.RetryBudget}), and detection of stalls of the process ({@link
 * lemondock.overload.StallMonitor}).
 *
 * <p>All classes are pure computations: they read no clock, do no I/O and start no threads. Times
 * are microseconds of one monotonic clock that the caller passes in. Each object belongs to one
 * thread, except that any thread may call {@link lemondock.overload.Admission#gate()}.
 */
package lemondock.overload;
