/**
 * The routing decisions of one gateway: which server reads a prompt, which writes the answer, what
 * waits, what is retried, rejected or cancelled, and when reserved state is released.
 *
 * <p>{@link lemondock.policy.Control} takes events in ({@link lemondock.policy.RequestRouter}) and
 * calls actions out ({@link lemondock.policy.RouterHost}). It is single-threaded: all events of one
 * instance come on one thread, and no class of the package may be touched from another. The package
 * has no clock, no I/O and no randomness but the seeded generator of {@code Control}: equal
 * settings, seed and events give equal actions, in equal order. Times are microseconds, lengths are
 * tokens.
 *
 * <h2>Where each of the five rules is guarded</h2>
 *
 * <ol>
 *   <li>One final answer in time: {@code RequestCompletion}.
 *   <li>No effect twice: {@code RetryPolicy.mayRepeat}.
 *   <li>Nothing new to servers that drain or are gone: {@code ServerEligibility}.
 *   <li>Servers in slow start are not pushed over: {@code ServerEligibility}, by the credit that
 *       {@code SlowStart} counts.
 *   <li>Reserved state is taken by a writer or released in time: {@code StateReleasePolicy}, by the
 *       due time that {@code ReservedState} keeps.
 * </ol>
 *
 * <h2>The concerns</h2>
 *
 * <ul>
 *   <li>Requests and attempts in flight: {@code InFlightRequest}, {@code Attempt}, sent by {@code
 *       AttemptSender} alone and recorded by {@code AttemptRecorder}.
 *   <li>Servers: {@code ServerTable} with a {@code ServerState} for each, its {@code ServerQueue}
 *       of unanswered attempts among it, and {@code RoleStatistics} for each role; {@code
 *       SlowStart}, {@code OutlierDetector} and {@code LatencyEstimator} estimate what they bear,
 *       whether they are to be ejected and how long work waits there.
 *   <li>Admission: {@code AdaptiveCapacityLimit} and {@code AdmissionQuota}; what has to wait is in
 *       the {@code AdmissionQueue}.
 *   <li>Choice of a reader: {@code ReaderSelector}, over {@code SessionTable}, {@code
 *       CachedPromptEstimator} and {@code RendezvousRanking}. Choice of a writer: {@code
 *       WriterSelector}.
 *   <li>Retries: {@code RetryPolicy} with its {@code RetryTokenBucket}; {@code AttemptTimeouts}
 *       cancels what is overdue.
 * </ul>
 *
 * <p>Each tuned value stands in the class that uses it. State is private to its class; where a
 * record of state is shared, as {@code ServerState}, a comment at each group of fields names the
 * one class that writes them. The records that hosts pass in are made by builders; input that
 * cannot be used is an {@link lemondock.policy.InvalidRouterInputException}.
 */
package lemondock.policy;
