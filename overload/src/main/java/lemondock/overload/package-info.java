/**
 * Overload protection of the gateway process itself: admission control by queueing delay ({@link
 * lemondock.overload.Admission}), by memory and file handles ({@link
 * lemondock.overload.ResourcePressure}) and by a retry budget ({@link
 * lemondock.overload.RetryBudget}), and detection of moments in which the process did not run
 * ({@link lemondock.overload.StallMonitor}).
 *
 * <p>All classes are pure computations: no clock, no I/O, no threads of their own. Times are
 * microseconds of one monotonic clock that the caller passes in. Each object belongs to one thread,
 * except for {@link lemondock.overload.Admission#gate()}.
 */
package lemondock.overload;
