/**
 * The routing decisions of one gateway: which server reads a prompt (prefill), which server writes
 * the answer (decode), which requests are queued, retried, rejected or cancelled, and when reserved
 * state is released.
 *
 * <p>{@link lemondock.policy.Control} receives events as a {@link lemondock.policy.RequestRouter}
 * and issues actions to a {@link lemondock.policy.RouterHost}. The package is single-threaded: all
 * events of one instance arrive on one thread, and none of its classes may be used from another. It
 * has no clock and no I/O, and its only randomness is the seeded generator of {@code Control}:
 * equal settings, seed and events produce equal actions in the same order. Times are in
 * microseconds, lengths in tokens.
 *
 * <h2>Where each of the five service rules is enforced</h2>
 *
 * <ol>
 *   <li>Each request gets one final answer in time: {@code RequestCompletion}.
 *   <li>No request takes effect twice: {@code RetryPolicy.mayRepeat}.
 *   <li>Nothing new is sent to servers that are draining or gone: {@code ServerEligibility}.
 *   <li>Servers in slow start are not overloaded: {@code ServerEligibility}, using the credit that
 *       {@code SlowStart} counts.
 *   <li>Reserved state is taken by a writer or released in time: {@code StateReleasePolicy}, using
 *       the due time that {@code ReservedState} keeps.
 * </ol>
 *
 * <h2>Components</h2>
 *
 * <ul>
 *   <li>Requests and attempts in flight: {@code InFlightRequest} and {@code Attempt}. Only {@code
 *       AttemptSender} sends attempts; {@code AttemptRecorder} records their results.
 *   <li>Servers: {@code ServerTable} has a {@code ServerState} for each server, which includes a
 *       {@code ServerQueue} of its unanswered attempts, and {@code RoleStatistics} for each role.
 *       {@code SlowStart} limits the load of a server that has just started, {@code
 *       OutlierDetector} decides whether a server is ejected, and {@code LatencyEstimator}
 *       estimates how long work waits there.
 *   <li>Admission: {@code AdaptiveCapacityLimit} and {@code AdmissionQuota}; requests that have to
 *       wait are in the {@code AdmissionQueue}.
 *   <li>Choice of a reader: {@code ReaderSelector}, based on {@code SessionTable}, {@code
 *       CachedPromptEstimator} and {@code RendezvousRanking}. Choice of a writer: {@code
 *       WriterSelector}.
 *   <li>Retries: {@code RetryPolicy} with its {@code RetryTokenBucket}; {@code AttemptTimeouts}
 *       cancels attempts that take too long.
 * </ul>
 *
 * <p>Each tuning constant is defined in the class that uses it. State is private to its class;
 * where state is shared between classes, as in {@code ServerState}, a comment on each group of
 * fields names the classes that write them. Hosts create the records that they pass in with
 * builders; input that cannot be used is reported as an {@link
 * lemondock.policy.InvalidRouterInputException}.
 */
package lemondock.policy;
